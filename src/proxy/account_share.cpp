/** @file account_share.cpp This VM's part of each client account's rate and burst. */
#include "proxy/account_share_base.h"

#include <algorithm>

namespace teaselreach::proxy {

AccountShare::AccountShare(AccountShareOptions options)
    : options_(options)
{ }

void AccountShare::setPart(core::MonoTime now, double part)
{
    if (!startedAt_)
        startedAt_ = now;
    part_ = std::clamp(part, 0.0, 1.0);
}

double AccountShare::burstOf(const Account &account) const
{
    const double window = std::chrono::duration<double>(options_.window).count();
    const double overrun = options_.overrunRatio * (account.ratePerSecond * window + account.burst)
        + options_.overrunRequests;
    return std::max(options_.minimumBurst,
                    (account.burst + options_.overrunUsed * overrun) * part_);
}

AccountShare::Bucket &AccountShare::refill(core::MonoTime now, const Account &account)
{
    auto [found, isNew] = buckets_.try_emplace(account.id);
    Bucket &bucket = found->second;
    // Filled from the start of this process on: what the process before it gave out is not given
    // out again.
    if (isNew)
        bucket = {.level = 1, .filledAt = startedAt_.value_or(now)};
    const double seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.level = std::min(burstOf(account),
                            bucket.level + std::max(0.0, seconds) * account.ratePerSecond * part_);
    bucket.filledAt = now;
    return bucket;
}

bool AccountShare::admit(core::MonoTime now, const Account &account)
{
    if (account.ratePerSecond <= 0)
        return true;
    Bucket &bucket = refill(now, account);
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    return true;
}

core::Micros AccountShare::timeToToken(core::MonoTime now, const Account &account)
{
    const double rate = account.ratePerSecond * part_;
    const double missing = 1 - refill(now, account).level;
    if (missing <= 0)
        return core::Micros(0);
    constexpr double longest = 60; // Seconds; a VM without a part has no better answer.
    const double seconds = rate > 0 ? std::min(longest, missing / rate) : longest;
    return std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(seconds));
}

void AccountShare::giveBack(const Account &account)
{
    const auto found = buckets_.find(account.id);
    if (found != buckets_.end())
        found->second.level = std::min(burstOf(account), found->second.level + 1);
}

} // namespace teaselreach::proxy
