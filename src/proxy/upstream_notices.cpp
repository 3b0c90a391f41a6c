/** @file upstream_notices.cpp Upstreams that asked this VM not to send them requests. */
#include "core/log_func.h"
#include "proxy/upstream_notices_base.h"

namespace teaselreach::proxy {

namespace {

/** Time after which a notice is forgotten; the upstream has long left by then. */
constexpr core::Micros noticeLifetime {core::Seconds(600)};

} // namespace

void UpstreamNotices::responded(core::MonoTime now, const UpstreamEntry &entry,
                                const UpstreamStatus &status)
{
    if (!status.leaving || isLeaving(entry))
        return;
    forgetOld(now);
    core::logEvent(core::LogLevel::Info, "upstream_says_leaving",
                   {{"upstream", entry.id.str()}, {"service", entry.service.str()}});
    notices_[entry.id] = {.startedAt = entry.startedAt,
                          .address = entry.address,
                          .port = entry.port,
                          .saidAt = now,
                          .leaving = true};
}

bool UpstreamNotices::isLeaving(const UpstreamEntry &entry) const
{
    const auto found = notices_.find(entry.id);
    return found != notices_.end() && found->second.isOf(entry) && found->second.leaving;
}

void UpstreamNotices::forgetOld(core::MonoTime now)
{
    std::erase_if(notices_,
                  [&](const auto &entry) { return now - entry.second.saidAt > noticeLifetime; });
}

} // namespace teaselreach::proxy
