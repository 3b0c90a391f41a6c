/** @file limit_state_base.h Enforcement of all accounts' rate limits on one VM. */
#pragma once

#include "config/config_snapshot_base.h"
#include "limit/account_limit_base.h"
#include "limit/placement_base.h"

#include <concepts>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace teaselreach::limit {

/**
 * One VM's part of a strategy that enforces limits over all VMs. A pending decision is returned by
 * takeOutput() after a later call of runDueWork() or of a message handler.
 */
template <typename T>
concept LimitStrategy = requires(T &strategy, const T &constStrategy, core::MonoTime now,
                                 const core::ClientAccountId &account, core::Micros maxWait,
                                 const BorrowRequest &request, const BorrowAnswer &answer)
{
    {
        strategy.tryAdmit(now, account, maxWait)
        } -> std::same_as<AdmissionResult>;
    {
        strategy.onBorrowRequest(now, request)
        } -> std::same_as<BorrowAnswer>;
    strategy.onBorrowAnswer(now, answer);
    strategy.onBorrowFailed(now, account, request.id);
    strategy.runDueWork(now);
    {
        constStrategy.nextDue()
        } -> std::same_as<std::optional<core::MonoTime>>;
    {
        strategy.takeOutput()
        } -> std::same_as<LimitOutput>;
};

/**
 * Enforces the limits of all accounts, or of one shard of them, on one VM. Each home slot of an
 * account holds a share of its limit in a token bucket and lends tokens to other VMs. Not
 * thread-safe.
 *
 * After every call the caller sends takeOutput().borrowRequests, completes the requests named in
 * takeOutput().resolved, and calls runDueWork() at nextDue(). An admitted request must be
 * dispatched without further waiting. `now` must be read from CLOCK_BOOTTIME immediately before
 * each call.
 */
class LimitState
{
public:
    /**
     * @param self This VM.
     * @param incarnation Of this process; no other process of the same VM id may use it.
     */
    LimitState(core::VmId self, core::Incarnation incarnation);
    LimitState(const LimitState &) = delete;
    LimitState &operator=(const LimitState &) = delete;

    /**
     * Decides on a request.
     * @param account Client account. An account without a limit record is not limited.
     * @param maxWait min(limits.max_wait_ms, time to the deadline); 0 if it cannot wait.
     * @return The decision. If it is Decision::Pending, takeOutput() returns the final decision
     * with the same ticket, at the latest once runDueWork() has run after maxWait.
     */
    AdmissionResult tryAdmit(core::MonoTime now, const core::ClientAccountId &account,
                             core::Micros maxWait);
    /** Handles a `limit.borrow` call of another VM. */
    BorrowAnswer onBorrowRequest(core::MonoTime now, const BorrowRequest &request);
    /** Handles the answer to a borrow request from takeOutput(). */
    void onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer);
    /** Handles the failure of a borrow request from takeOutput(). */
    void onBorrowFailed(core::MonoTime now, const core::ClientAccountId &account,
                        const BorrowId &id);
    /** Does the work of all accounts that is due: decisions, borrow requests, returned tokens. */
    void runDueWork(core::MonoTime now);
    /** @return The time at which runDueWork() must be called, if any. */
    std::optional<core::MonoTime> nextDue() const;
    /** @return The messages and decisions since the last call; clears them. */
    LimitOutput takeOutput() { return std::exchange(output_, {}); }

    /** Applies a revision of the configuration; one that is not newer is ignored. */
    void onConfig(core::MonoTime now, std::shared_ptr<const config::ConfigSnapshot> config);
    /**
     * Applies a revision of the placement, from the store or from a peer.
     * @return False if it is older than the one in force and was ignored (`store_behind`).
     */
    bool onPlacement(core::MonoTime now, std::shared_ptr<const Placement> placement);
    /** Applies a VM list. This VM acts as home while mayActAsHome() holds. */
    void onVmList(core::MonoTime now, const core::VmList &list);

    /** @return Whether this VM acts as home of the slots that it owns. */
    bool actsAsHome() const { return context_.actingAsHome; }
    /**
     * A leaving VM may hand its slots over once this time has passed.
     * @return Latest expiry of the loans of buckets that have been removed, but not before the time
     * at which this VM stopped acting as home.
     */
    core::MonoTime loansExpireAt() const { return loansExpireAt_; }
    /** @return The placement in force, or nullptr. */
    const std::shared_ptr<const Placement> &placement() const { return placement_; }
    /** @return The VM lists seen by this process. */
    const VmHistory &vmHistory() const { return history_; }
    /**
     * @return The bucket of an account's slot, or nullptr if there is none on this VM; for
     * `teaselreach explain`.
     */
    const HomeBucket *bucket(const core::ClientAccountId &account, int slot) const;

private:
    /** The limit of an account and when runDueWork() is due for it. */
    struct Entry
    {
        AccountLimit limit;
        std::optional<core::MonoTime> due;
    };
    using Entries = std::unordered_map<core::ClientAccountId, Entry, core::StrongHash>;

    Entry *findOrCreate(const core::ClientAccountId &account);
    Entry &createEntry(const record::Limit &limit);
    void schedule(core::MonoTime now, const core::ClientAccountId &account, Entry &entry);
    void stopActingAsHome(core::MonoTime now);
    void startActingAsHome(core::MonoTime now);
    void applyLimit(core::MonoTime now, const record::Limit *previous, const record::Limit &limit);
    void removeDeletedLimits(const config::ConfigSnapshot &next);
    void removeEntry(Entries::iterator entry);
    void recordLoanExpiry(const AccountLimit &limit);

    LocalVmContext context_;
    VmHistory history_;
    std::shared_ptr<const config::ConfigSnapshot> config_;
    std::shared_ptr<const Placement> placement_;
    std::vector<SlotStartTimes> actingSince_ = std::vector<SlotStartTimes>(partitionCount);
    Entries accounts_;
    std::set<std::pair<core::MonoTime, core::ClientAccountId>> due_;
    LimitOutput output_;
    std::uint64_t lastTicket_ = 0;
    core::MonoTime loansExpireAt_;
};

static_assert(LimitStrategy<LimitState>);

} // namespace teaselreach::limit
