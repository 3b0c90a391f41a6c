/** @file served_share.cpp Share of a service's requests that were not served. */
#include "placement/served_share_base.h"

namespace teaselreach::proxy {

void ServedShare::finished(core::MonoTime now, const core::ServiceId &service, bool served)
{
    const std::int64_t index = sliceOf(now);
    Slice &current = services_[service].at(static_cast<std::size_t>(index % slicesPerWindow));
    if (current.index != index)
        current = {.index = index};
    ++current.finished;
    current.unserved += served ? 0 : 1;
}

double ServedShare::unserved(core::MonoTime now, const core::ServiceId &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    int finished = 0;
    int unserved = 0;
    for (const Slice &part : found->second) {
        if (part.index < 0 || part.index <= sliceOf(now) - slicesPerWindow)
            continue;
        finished += part.finished;
        unserved += part.unserved;
    }
    return finished == 0 ? 0 : static_cast<double>(unserved) / finished;
}

} // namespace teaselreach::proxy
