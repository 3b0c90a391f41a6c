/** @file upstream_notices.cpp Upstreams that asked this VM not to send them requests. */
#include "core/log_func.h"
#include "placement/upstream_notices_base.h"

#include <algorithm>

namespace teaselreach::proxy {

namespace {

/** Time after which a notice is forgotten if it no longer holds requests off. */
constexpr core::Micros noticeLifetime {core::Seconds(600)};

} // namespace

const UpstreamNotices::Notice *UpstreamNotices::find(const UpstreamEntry &entry) const
{
    const auto found = notices_.find(entry.id);
    return found != notices_.end() && found->second.isOf(entry) ? &found->second : nullptr;
}

void UpstreamNotices::responded(core::MonoTime now, const UpstreamEntry &entry,
                                const UpstreamStatus &status)
{
    const bool isNewlyLeaving = status.leaving && !isLeaving(entry);
    if (!isNewlyLeaving && !status.retryAfter)
        return;
    forgetOld(now);
    if (find(entry) == nullptr)
        notices_[entry.id] = {
            .startedAt = entry.startedAt, .address = entry.address, .port = entry.port};
    Notice &notice = notices_[entry.id];
    notice.saidAt = now;
    if (isNewlyLeaving) {
        notice.leaving = true;
        core::logEvent(core::LogLevel::Info, "upstream_says_leaving",
                       {{"upstream", entry.id.str()}, {"service", entry.service.str()}});
    }
    if (status.retryAfter) {
        // A response to an earlier request may arrive after a longer time was named.
        notice.holdsOffUntil = std::max(notice.holdsOffUntil, now + *status.retryAfter);
        core::logEvent(
            core::LogLevel::Info, "upstream_holds_off",
            {{"upstream", entry.id.str()},
             {"service", entry.service.str()},
             {"for_ms", std::chrono::duration_cast<core::Millis>(*status.retryAfter).count()}});
    }
}

bool UpstreamNotices::isLeaving(const UpstreamEntry &entry) const
{
    const Notice *notice = find(entry);
    return notice != nullptr && notice->leaving;
}

bool UpstreamNotices::isHoldingOff(core::MonoTime now, const UpstreamEntry &entry) const
{
    const Notice *notice = find(entry);
    return notice != nullptr && now < notice->holdsOffUntil;
}

void UpstreamNotices::forgetOld(core::MonoTime now)
{
    std::erase_if(notices_, [&](const auto &entry) {
        const Notice &notice = entry.second;
        return now - notice.saidAt > noticeLifetime && now >= notice.holdsOffUntil;
    });
}

} // namespace teaselreach::proxy
