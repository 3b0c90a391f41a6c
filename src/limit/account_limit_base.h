/** @file account_limit_base.h Enforcement of one account's rate limit on one VM. */
#pragma once

#include "limit/borrowed_tokens_base.h"
#include "limit/home_bucket_base.h"
#include "limit/home_choice_func.h"
#include "limit/placement_base.h"

#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace teaselreach::limit {

/** Properties of this VM and process that all accounts share. */
struct LocalVmContext
{
    core::VmId self;
    core::Incarnation incarnation;
    bool actingAsHome = false;      ///< Whether mayActAsHome() holds.
    std::uint64_t lastSequence = 0; ///< Of the loan and borrow ids generated.
};

/** Times from which this VM has acted as home of each slot of a partition. */
using SlotStartTimes = std::array<core::MonoTime, slotsPerPartition>;

/**
 * Admits one account's requests on this VM with tokens of the buckets that the VM keeps as home
 * and with tokens borrowed from other homes. Requests without a token wait in order of arrival.
 */
class AccountLimit
{
public:
    /**
     * @param context Must outlive the object.
     * @param limit The account's limit.
     * @param homes Owners of the slots of the account's partition.
     * @param actingSince Start of each bucket; read only for slots that this VM owns.
     */
    AccountLimit(LocalVmContext &context, const record::Limit &limit, const PartitionHomes &homes,
                 const SlotStartTimes &actingSince);

    /**
     * Decides on a request or queues it until a token is usable.
     * @param ticket Names the request if it has to wait.
     * @param maxWait Longest time that it may wait; with 0 the decision is immediate.
     * @param output Receives borrow requests to send and decisions on other requests.
     * @return The decision; Decision::Pending if the request waits.
     */
    Decision tryAdmit(core::MonoTime now, TicketId ticket, core::Micros maxWait,
                      LimitOutput &output);

    /** Ends the reported loans and lends tokens, if this VM acts as home of the slot. */
    BorrowAnswer onBorrowRequest(core::MonoTime now, const BorrowRequest &request);
    /** Adds the tokens of an answer. Those of a late answer are usable until they expire. */
    void onBorrowAnswer(core::MonoTime now, const BorrowAnswer &answer, LimitOutput &output);
    /** Removes a borrow request that failed and backs off from its home. */
    void onBorrowFailed(core::MonoTime now, BorrowId id, LimitOutput &output);
    /** Decides on waiting requests, sends borrow requests and returns unused tokens. */
    void runDueWork(core::MonoTime now, LimitOutput &output);

    /** Applies a changed rate or burst. */
    void onLimitChanged(core::MonoTime now, const record::Limit &limit);
    /** Applies a changed placement. A slot that this VM newly owns starts without tokens. */
    void onHomesChanged(core::MonoTime now, const PartitionHomes &homes);
    /** Creates the buckets of the slots that this VM owns. */
    void startActingAsHome(core::MonoTime now);
    /** Removes the buckets once this VM no longer acts as home. */
    void stopActingAsHome();

    /** Refuses all waiting requests before the object is removed. */
    void refuseAll(LimitOutput &output);

    /** @return The time at which runDueWork() must be called, if any. */
    std::optional<core::MonoTime> nextDue(core::MonoTime now) const;
    /** @return The limit in force. */
    const record::Limit &limit() const { return limit_; }
    /** @return The bucket of a slot, or nullptr if this VM does not act as its home. */
    const HomeBucket *bucket(int slot) const;

private:
    /** A request that waits for a token. */
    struct WaitingRequest
    {
        TicketId ticket;
        core::MonoTime deadline;
    };

    /** State that this VM keeps for a home slot. */
    struct Slot
    {
        core::VmId owner;
        std::optional<HomeBucket> bucket; ///< Set while this VM acts as home of the slot.
        HomeEstimate estimate;            ///< Of the bucket of another home.
        core::MonoTime backoffUntil;      ///< The home is not asked before this time.
        core::Micros backoff {};          ///< Last backoff; reset by an answer of the home.
        std::vector<FinishedLoan> unreportedLoans; ///< For the next borrow request.
    };

    /** A borrow request without an answer so far. */
    struct PendingBorrow
    {
        BorrowId id;
        int slot = 0;
        int wanted = 0;
        core::MonoTime sentAt;
        bool timedOut = false; ///< No longer in expectedTokens(); a late answer is still used.
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
