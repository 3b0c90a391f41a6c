/** @file limit_service_base.h The distributed limits as the requests of one daemon use them. */
#pragma once

#include "core/ticker_base.h"
#include "core/work_queue_base.h"
#include "daemon/collaborator_type.h"
#include "daemon/peer_directory_base.h"
#include "limit/limit_state_base.h"
#include "rpc/http_transport_base.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace teaselreach::daemon {

/** Identity and bounds of a LimitService. */
struct LimitServiceOptions
{
    core::VmId self;
    core::Incarnation incarnation;
    core::Millis maxWait {400}; ///< Longest wait for a token.
};

/**
 * LimitState in shards by client account, each under its own lock, with the threads that carry
 * borrow requests and do what is due. Models RateLimiter.
 */
class LimitService
{
public:
    /**
     * @param options Identity and bounds.
     * @param directory Endpoints of home VMs; must outlive the object.
     * @param transport Carries borrow requests; must outlive the object.
     */
    LimitService(LimitServiceOptions options, const PeerDirectory &directory,
                 rpc::HttpTransport &transport);
    /** Stops the threads. No request may be pending. */
    ~LimitService();
    LimitService(const LimitService &) = delete;
    LimitService &operator=(const LimitService &) = delete;

    /**
     * Takes a token, or lets the request wait for one until `maxWait` or the deadline.
     * @param wake Called with a lock held; must not call the service.
     */
    AdmissionState admit(const record::ClientAccount &account, const record::Limit *limit,
                         core::MonoTime deadline, std::function<void()> wake);
    /** Does what is due for a waiting request. @return Its verdict, or when to look again. */
    AdmissionState checkPending(const PendingAdmission &pending, core::MonoTime now);
    /** Forgets a request that waits no more. */
    void abandon(const PendingAdmission &pending);
    /** Answers `limit.borrow`. @throws nlohmann::json::exception if params are malformed. */
    nlohmann::json answerBorrow(const nlohmann::json &params);

    /** Takes over a configuration. */
    void onConfig(const std::shared_ptr<const config::ConfigSnapshot> &snapshot);
    /** Takes over a VM list. */
    void onVmList(const core::VmList &list);
    /** Takes over a placement from the store or a peer. @return False if it was an older one. */
    bool onPlacement(const std::shared_ptr<const limit::Placement> &placement);

    /** @return The placement in force, or nullptr. */
    std::shared_ptr<const limit::Placement> placement() const;
    /** @return The home VMs of an account that has a limit; empty if they are not known. */
    std::vector<core::VmId> homesOf(const core::ClientAccountId &account) const;
    /** @return What has been seen of the VM list. */
    limit::VmHistory vmHistory() const;
    /** @return Whether this VM acts as home of its slots. */
    bool actsAsHome() const;
    /** @return When the last loan of this VM has expired. */
    core::MonoTime loansExpireAt() const;

private:
    static constexpr std::size_t shardCount = 8;

    /** A request that waits for the decision on its ticket. */
    struct Waiter
    {
        std::function<void()> wake;
        std::optional<limit::Decision> decision;
    };

    struct Shard
    {
        mutable std::mutex mutex;
        std::unique_ptr<limit::LimitState> state;
        std::unordered_map<limit::TicketId, Waiter, core::StrongHash> waiters;
    };

    /** The shards, each with its state. */
    struct Shards : std::array<Shard, shardCount>
    {
        explicit Shards(const LimitServiceOptions &options);
    };

    Shard &shardOf(const core::ClientAccountId &account);
    static AdmissionState pollTicket(Shard &shard, const PendingAdmission &pending,
                                     core::MonoTime now);
    void applyOutput(Shard &shard);
    void queueBorrowRequest(Shard &shard, const limit::OutgoingBorrowRequest &outgoing);
    void sendBorrowRequest(Shard &shard, const limit::OutgoingBorrowRequest &outgoing);
    void runAllDueWork();

    LimitServiceOptions options_;
    const PeerDirectory &directory_;
    rpc::HttpTransport &transport_;
    Shards shards_;
    std::atomic<std::shared_ptr<const config::ConfigSnapshot>> config_;
    // Destroyed first: their threads use all of the above.
    core::WorkQueue borrowQueue_;
    core::Ticker dueWorkTicker_;
};

static_assert(RateLimiter<LimitService>);

} // namespace teaselreach::daemon
