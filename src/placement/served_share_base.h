/** @file served_share_base.h Share of a service's requests that were not served. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace teaselreach::proxy {

/**
 * Counts, by service, the requests of the last second that were served and those that failed or
 * were refused. Requests refused because of the limit of their account do not count. Uses no clock.
 */
class ServedShare
{
public:
    /** Records the end of a request. */
    void finished(core::MonoTime now, const core::ServiceId &service, bool served);
    /** @return Share of the requests of the last second that were not served, 0 to 1; 0 without
     * requests. */
    double unserved(core::MonoTime now, const core::ServiceId &service) const;

private:
    /** Length of a slice; the counted time is one second, with an error of up to one slice. */
    static constexpr core::Millis slice {50};
    static constexpr std::int64_t slicesPerWindow = 20;

    /** Counts of a part of the window. */
    struct Slice
    {
        std::int64_t index = -1; ///< Time divided by the length of a slice.
        int finished = 0;
        int unserved = 0;
    };
    using Slices = std::array<Slice, slicesPerWindow>;

    static std::int64_t sliceOf(core::MonoTime now)
    {
        return now.time_since_epoch() / core::Micros(slice);
    }

    std::unordered_map<core::ServiceId, Slices, core::StrongHash> services_;
};

} // namespace teaselreach::proxy
