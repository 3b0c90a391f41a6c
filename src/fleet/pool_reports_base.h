/** @file pool_reports_base.h Reports that the VMs of a pool exchange to pace accounts. */
#pragma once

#include "fleet/peer_messenger_base.h"
#include "fleet/pool_usage_coverage_base.h"

#include <vector>

namespace teaselreach::proxy {

/** Connects a PacedRateLimiter with those of the other VMs of its pool: fills and reads messages,
 * and decides whose shares are pooled. Uses no threads, sockets or clocks. */
class PoolReports
{
public:
    /** Longest time between two messages to the pool; see PoolMembership::heardFor. */
    static constexpr core::Millis messageInterval {100};

    /** A history and the VM that it is for. */
    struct Answer
    {
        core::VmId receiver;
        PeerMessage message;
    };

    /** @param self This VM. @param limiter, coverage Must outlive the object. */
    PoolReports(core::VmId self, PacedRateLimiter &limiter, PoolUsageCoverage &coverage)
        : self_(std::move(self))
        , limiter_(limiter)
        , coverage_(coverage)
        , membership_(self_)
    { }

    /** Sets the shares of every limit. @param own Share of this VM. @param members The other
     * active VMs of the region with their shares; empty while this VM is inactive or leaves. */
    void updateShares(core::MonoTime now, double own, std::vector<PoolMember> members);
    /** Adds usage and this VM's view to a message for the members. */
    void fill(core::MonoTime now, PeerMessage &message);
    /** @return Histories for members that have asked for one. */
    std::vector<Answer> takeAnswers(core::MonoTime now);
    /** Reads what a message of a member says of the use of limits. */
    void receive(core::MonoTime now, const PeerMessage &message);
    /** @return Reports that were ignored as implausible or for an unknown account. */
    std::uint64_t rejected() const { return rejected_; }
    /** @return Number of other VMs whose shares are pooled with this one's. */
    std::size_t pooledVms() const { return pooled_.size(); }

private:
    void logPool(double own) const;

    core::VmId self_;
    PacedRateLimiter &limiter_;
    PoolUsageCoverage &coverage_;
    PoolMembership membership_;
    std::vector<core::VmId> memberIds_;
    std::set<core::VmId> pooled_;
    std::uint64_t rejected_ = 0;
};

} // namespace teaselreach::proxy
