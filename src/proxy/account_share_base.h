/** @file account_share_base.h This VM's part of each client account's rate and burst. */
#pragma once

#include "proxy/proxy_type.h"

#include <optional>
#include <unordered_map>

namespace teaselreach::proxy {

/** How a limit is divided between VMs. */
struct AccountShareOptions
{
    /** Smallest bucket of a VM, in requests, so that a small part still lets single requests in. */
    double minimumBurst = 1;
    /** What the operators allow beyond rate and burst in a window, over all VMs: a ratio and a
     * number of requests. It widens the buckets, since parts of a small burst would refuse requests
     * that a single bucket for the fleet lets in. */
    double overrunRatio = 0;
    double overrunRequests = 0;
    core::Micros window {core::Seconds(5)};
    /** Part of the allowed overrun that is used. The rest covers requests under way. */
    double overrunUsed = 0.6;
};

/**
 * Token buckets that hold a fixed part of each account's limit. The parts of all VMs add up to at
 * most one, so the sum over the fleet stays within the limit without messages.
 */
class AccountShare
{
public:
    /** @param options How limits are divided. */
    explicit AccountShare(AccountShareOptions options);

    /** @param part This VM's part of every limit, 0 to 1. */
    void setPart(core::MonoTime now, double part);
    /** @return Whether a request of the account is within this VM's part; takes a token if so. */
    bool admit(core::MonoTime now, const Account &account);
    /** @return Time until admit() may succeed for the account. */
    core::Micros timeToToken(core::MonoTime now, const Account &account);
    /** Gives back the token of a request that was not passed on to an upstream. */
    void giveBack(const Account &account);
    /** @return Present part. */
    double part() const { return part_; }

private:
    /** One account's tokens on this VM. */
    struct Bucket
    {
        double level = 0;
        core::MonoTime filledAt {};
    };

    double burstOf(const Account &account) const;
    Bucket &refill(core::MonoTime now, const Account &account);

    AccountShareOptions options_;
    double part_ = 0;
    std::optional<core::MonoTime> startedAt_; ///< When this VM first had a part.
    std::unordered_map<core::ClientAccountId, Bucket, core::StrongHash> buckets_;
};

} // namespace teaselreach::proxy
