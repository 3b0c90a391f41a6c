/** @file limit_state_base.h The limits of all accounts on one VM. */
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
 * A way to enforce limits over all VMs, as one VM runs it. Decisions that take time are resolved
 * through takeOutput() after runDueWork() or after a message.
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
 * Held shares: the limits of all accounts (or of one shard of them) on one VM. Not thread-safe.
 *
 * After every call the caller sends takeOutput().borrowRequests, completes the requests named in
 * takeOutput().resolved, and calls runDueWork() at nextDue(). A request admitted must be dispatched
 * without a further wait; `now` is read from CLOCK_BOOTTIME immediately before each call.
 */
class LimitState
{
public:
    /**
     * @param self This VM.
     * @param incarnation Of this process, never used by another process of the same VM id.
     */
    LimitState(core::VmId self, core::Incarnation incarnation);
    LimitState(const LimitState &) = delete;
    LimitState &operator=(const LimitState &) = delete;

    /**
     * Decides on a request.
     * @param account Its client account. An account without a limit record is not limited.
     * @param maxWait min(limits.max_wait_ms, time to the deadline); 0 if it cannot wait.
     * @return The decision; Waits if it follows under the ticket, at the latest after maxWait.
     */
    AdmissionResult tryAdmit(core::MonoTime now, const core::ClientAccountId &account,
                             core::Micros maxWait);
    /** Answers `limit.borrow`. */
    BorrowAnswer onBorrowRequest(core::MonoTime now, const BorrowRequest &request);
    /** Takes the answer to a request from takeOutput(). */
    void onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer);
    /** Ends a request from takeOutput() that failed. */
    void onBorrowFailed(core::MonoTime now, const core::ClientAccountId &account,
                        const BorrowId &id);
    /** Does what is due. */
    void runDueWork(core::MonoTime now);
    /** @return The time at which runDueWork() has something to do. */
    std::optional<core::MonoTime> nextDue() const;
    /** @return Requests to send and decisions made since the last call. */
    LimitOutput takeOutput() { return std::exchange(output_, {}); }

    /** Applies a revision of the configuration; a lower one is ignored. */
    void onConfig(core::MonoTime now, std::shared_ptr<const config::ConfigSnapshot> config);
    /**
     * Applies a revision of the placement, from the store or from a peer.
     * @return False if it is lower than the one in force and was ignored (`store_behind`).
     */
    bool onPlacement(core::MonoTime now, std::shared_ptr<const Placement> placement);
    /** Applies a VM list; this VM acts as home while every list shows it live. */
    void onVmList(core::MonoTime now, const core::VmList &list);

    /** @return Whether this VM may act as home. */
    bool actsAsHome() const { return context_.actingAsHome; }
    /**
     * A leaving VM hands its slots over once this time has passed.
     * @return When the last loan made by this VM has expired.
     */
    core::MonoTime loansExpireAt() const { return loansExpireAt_; }
    /** @return The placement in force, or nullptr. */
    const std::shared_ptr<const Placement> &placement() const { return placement_; }
    /** @return What this process has seen of the VM list. */
    const VmHistory &vmHistory() const { return history_; }
    /** @return The bucket of an account's slot here, or nullptr; for `teaselreach explain`. */
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
