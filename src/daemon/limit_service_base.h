/** @file limit_service_base.h Distributed rate limits for the requests of one daemon. */
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

/** Identity and longest wait of a LimitService. */
struct LimitServiceOptions
{
    core::VmId self;
    core::Incarnation incarnation;
    core::Millis maxWait {400}; ///< Longest wait for a token.
};

/**
 * LimitState sharded by client account, with one lock for each shard, and the threads that send
 * borrow requests and run due work. Models RateLimiter.
 */
class LimitService
{
public:
    /**
     * @param options Identity and longest wait.
     * @param directory Endpoints of home VMs; must outlive the object.
     * @param transport Sends borrow requests; must outlive the object.
     */
    LimitService(LimitServiceOptions options, const PeerDirectory &directory,
                 rpc::HttpTransport &transport);
    /** Stops the threads. No request may be pending. */
    ~LimitService();
    LimitService(const LimitService &) = delete;
    LimitService &operator=(const LimitService &) = delete;

    /**
     * Takes a token, or makes the request wait for one, but not beyond `maxWait` or the deadline.
     * @param limit The limit of the account; nullptr admits the request at once.
     * @param wake Called with a lock held; must not call the service.
     */
    AdmissionState admit(const record::ClientAccount &account, const record::Limit *limit,
                         core::MonoTime deadline, std::function<void()> wake);
    /** Runs due work for a pending request. @return Its verdict, or when to check again. */
    AdmissionState checkPending(const PendingAdmission &pending, core::MonoTime now);
    /** Removes a request whose caller has stopped waiting. */
    void abandon(const PendingAdmission &pending);
    /** Answers `limit.borrow`. @throws nlohmann::json::exception if params are malformed. */
    nlohmann::json answerBorrow(const nlohmann::json &params);

    /** Applies a configuration. */
    void onConfig(const std::shared_ptr<const config::ConfigSnapshot> &snapshot);
    /** Applies a VM list. */
    void onVmList(const core::VmList &list);
    /** Applies a placement from the store or a peer. @return False if it is an older one. */
    bool onPlacement(const std::shared_ptr<const limit::Placement> &placement);

    /** @return The active placement, or nullptr. */
    std::shared_ptr<const limit::Placement> placement() const;
    /** @return The home VMs of an account; empty if it has no limit or they are unknown. */
    std::vector<core::VmId> homesOf(const core::ClientAccountId &account) const;
    /** @return What this process has seen of the VM list. */
    limit::VmHistory vmHistory() const;
    /** @return Whether this VM acts as home of its slots. */
    bool actsAsHome() const;
    /** @return When the last loan made by this VM expires. */
    core::MonoTime loansExpireAt() const;

private:
    static constexpr std::size_t shardCount = 8;

    /** A pending request and, once resolved, the decision on its ticket. */
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

    /** The shards; the constructor creates the state of each. */
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
    // Declared last and so destroyed first: their threads use the members above.
    core::WorkQueue borrowQueue_;
    core::Ticker dueWorkTicker_;
};

static_assert(RateLimiter<LimitService>);

} // namespace teaselreach::daemon
