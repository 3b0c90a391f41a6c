/** @file account_limit_base.h The limit of one account as one VM handles it. */
#pragma once

#include "limit/borrower_base.h"
#include "limit/home_bucket_base.h"
#include "limit/home_choice_func.h"
#include "limit/placement_base.h"

#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace teaselreach::limit {

/** What a VM knows about itself that the limits of all accounts need. */
struct LocalVmContext
{
    core::VmId self;
    core::Incarnation incarnation;
    bool actingAsHome = false;      ///< Whether mayActAsHome() holds.
    std::uint64_t lastSequence = 0; ///< Of the ids given out by this process.
};

/** Times from which a VM has owned the slots of a partition. */
using SlotStartTimes = std::array<core::MonoTime, slotsPerPartition>;

/**
 * Ties together the buckets that this VM owns, the loans it holds and the requests that wait for
 * tokens. Requests wait in the order of arrival.
 */
class AccountLimit
{
public:
    /**
     * @param context Outlives the object.
     * @param limit The account's limit.
     * @param homes Owners of the slots of its partition.
     * @param actingSince Time from which this VM has owned each slot; only read for own slots.
     */
    AccountLimit(LocalVmContext &context, const record::Limit &limit, const PartitionHomes &homes,
                 const SlotStartTimes &actingSince);

    /**
     * Decides on a request or lets it wait.
     * @param ticket Names the request if it has to wait.
     * @param maxWait Longest time it may wait; 0 for a decision at once.
     * @param output Receives requests to send and decisions on other requests.
     */
    Decision tryAdmit(core::MonoTime now, TicketId ticket, core::Micros maxWait,
                      LimitOutput &output);

    /** Lends tokens of an own slot, if this VM acts as home. */
    BorrowAnswer onBorrowRequest(core::MonoTime now, const BorrowRequest &request);
    /** Takes over the tokens of an answer, also of a late one that has not expired. */
    void onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer, LimitOutput &output);
    /** Ends a request that failed; the home is not asked for a while. */
    void onBorrowFailed(core::MonoTime now, BorrowId id, LimitOutput &output);
    /** Does what is due: admits and refuses waiting requests, asks again, returns tokens. */
    void runDueWork(core::MonoTime now, LimitOutput &output);

    /** Applies a changed rate or burst. */
    void onLimitChanged(core::MonoTime now, const record::Limit &limit);
    /** Applies a changed placement; a slot that this VM newly owns starts without tokens. */
    void onHomesChanged(core::MonoTime now, const PartitionHomes &homes);
    /** Starts the buckets of the own slots once this VM acts as home. */
    void startActingAsHome(core::MonoTime now);
    /** Drops the buckets of this VM, after it has ceased to act as home. */
    void stopActingAsHome();

    /** Refuses every request that waits, because the limit ceases to exist here. */
    void refuseAll(LimitOutput &output);

    /** @return The time at which runDueWork() has something to do. */
    std::optional<core::MonoTime> nextDue(core::MonoTime now) const;
    /** @return The limit in force. */
    const record::Limit &limit() const { return limit_; }
    /** @return The bucket of a slot, or nullptr if this VM does not act as its home. */
    const HomeBucket *bucket(int slot) const;

private:
    /** A request that waits. */
    struct WaitingRequest
    {
        TicketId ticket;
        core::MonoTime deadline;
    };

    /** A home slot as this VM sees it. */
    struct Slot
    {
        core::VmId owner;
        std::optional<HomeBucket> bucket; ///< Set while this VM owns the slot.
        HomeEstimate estimate;
        core::MonoTime backoffUntil; ///< The home did not answer and is not asked before.
        core::Micros backoff {};
        std::vector<FinishedLoan> unreportedLoans; ///< To be reported with the next request.
    };

    /** A borrow request without an answer. */
    struct PendingBorrow
    {
        BorrowId id;
        int slot = 0;
        int wanted = 0;
        core::MonoTime sentAt;
        bool timedOut = false; ///< Its tokens are wanted elsewhere now; a late answer still counts.
    };

    bool tryTakeLocally(core::MonoTime now);
    bool ownsSlot(const Slot &slot) const { return slot.owner == context_.self; }
    void processFinishedLoans(core::MonoTime now);
    void admitWaiting(core::MonoTime now, LimitOutput &output);
    void refuseExpired(core::MonoTime now, LimitOutput &output);
    void expirePendingBorrows(core::MonoTime now);
    void backOff(core::MonoTime now, Slot &slot);
    void borrowForWaiting(core::MonoTime now, LimitOutput &output);
    bool borrowForRequest(core::MonoTime now, std::size_t index,
                          std::vector<HomeEstimate> &estimates, std::vector<int> &wanted);
    bool borrowLocally(core::MonoTime now, int slot, core::Micros maxDelay);
    void sendBorrowRequest(core::MonoTime now, int slot, int wanted, LimitOutput &output);
    void returnUnusedTokens(core::MonoTime now, LimitOutput &output);
    std::vector<HomeEstimate> currentEstimates(core::MonoTime now) const;
    std::size_t expectedTokens() const;
    Decision refusalReason(core::MonoTime now) const;
    bool backoffEndsBefore(core::MonoTime now, core::MonoTime deadline) const;

    LocalVmContext &context_;
    record::Limit limit_;
    std::vector<Slot> slots_;
    BorrowedTokens borrowedTokens_;
    std::deque<WaitingRequest> waiting_;
    std::vector<PendingBorrow> pendingBorrows_;
};

} // namespace teaselreach::limit
