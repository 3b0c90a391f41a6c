/** @file limit_type.h Values and messages of the distributed rate limit. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <vector>

namespace teaselreach::limit {

/** Number of partitions that accounts are hashed into. */
inline constexpr int partitionCount = 1024;
/** Home slots of a partition; an account uses the first Limit::homes of them. */
inline constexpr int slotsPerPartition = 3;

using TicketId = core::StrongInt<struct TicketIdTag, std::uint64_t>; ///< A waiting request.

/**
 * An id that no other process gives out: a late message of a predecessor with the same VM id
 * never matches.
 */
template <typename Tag>
struct ProcessUniqueId
{
    core::Incarnation incarnation;
    std::uint64_t sequence = 0; ///< From 1 on.

    bool operator==(const ProcessUniqueId &) const = default;
};

using LoanId = ProcessUniqueId<struct LoanIdTag>;     ///< Given by the home.
using BorrowId = ProcessUniqueId<struct BorrowIdTag>; ///< Given by the borrower.

/** The part of an account's limit that one home slot owns. */
struct Share
{
    double ratePerSecond = 0;
    double burst = 0;

    bool operator==(const Share &) const = default;
};

/**
 * Longest time until a promised token is usable. A constant, not a setting: a restarted home must
 * know what its predecessor may have promised.
 */
inline constexpr core::Micros maxTokenDelay = core::Millis(400);
/**
 * Shortest time that a borrower has for using a token once it is usable. A round trip between
 * regions takes 40 ms of it.
 */
inline constexpr core::Micros minLoanLifetime = core::Millis(100);
/** Longest such time. */
inline constexpr core::Micros maxLoanLifetime = core::Millis(250);
/** Time for which a home without memory holds back: the longest lifetime of a loan. */
inline constexpr core::Micros restartHoldDown = maxTokenDelay + maxLoanLifetime;
/** Unused tokens are returned when their loan has this time left. */
inline constexpr core::Micros returnMargin = core::Millis(50);
/** Time after which a borrow request counts as unanswered. */
inline constexpr core::Micros answerTimeout = core::Millis(150);
/** Time for which a home that did not answer is not asked; doubles up to maxBackoff. */
inline constexpr core::Micros initialBackoff = core::Millis(50);
inline constexpr core::Micros maxBackoff = core::Seconds(1);
/** Most tokens lent in one answer. */
inline constexpr int maxLoanTokens = 64;
/** Most finished loans reported in one request; others end when they expire. */
inline constexpr std::size_t maxFinishedReported = 32;

/** The borrower's statement that it will use no further token of a loan. */
struct FinishedLoan
{
    LoanId id;
    int unused = 0; ///< Tokens of the loan that were not used.

    bool operator==(const FinishedLoan &) const = default;
};

/** Asks a home for tokens; also sent with wanted = 0 to return unused ones. */
struct BorrowRequest
{
    core::ClientAccountId account;
    int slot = 0;
    BorrowId id;
    int wanted = 0;
    core::Micros maxDelay {}; ///< Tokens that become usable later than this are not wanted.
    std::vector<FinishedLoan> finished;

    bool operator==(const BorrowRequest &) const = default;
};

/** A home's answer. */
struct BorrowAnswer
{
    core::ClientAccountId account;
    int slot = 0;
    BorrowId id;
    bool acting = false; ///< False: the VM does not act as home of the slot.
    LoanId loan;
    std::vector<core::Micros> delays; ///< One for each token lent: time until it is usable.
    core::Micros lifetime {};         ///< Counted by the borrower from before it sent the request.
    double level = 0; ///< Tokens left; below 1 it tells the time until the next token.

    bool operator==(const BorrowAnswer &) const = default;
};

/** A request on its way to a home VM. */
struct OutgoingBorrowRequest
{
    core::VmId to;
    BorrowRequest request;
};

enum class Decision : std::uint8_t {
    Admitted,
    RateLimited,      ///< No token within the time the request can wait.
    LimitUnavailable, ///< No home could be asked.
    Pending,          ///< Not decided yet; the decision follows under the ticket.
};

/** The answer to a caller of LimitState::tryAdmit. */
struct AdmissionResult
{
    Decision decision = Decision::RateLimited;
    TicketId ticket; ///< Set if the request waits.
};

/** The decision on a request that had to wait. */
struct ResolvedTicket
{
    TicketId ticket;
    Decision decision = Decision::RateLimited;
};

/** What the caller of LimitState has to do next. */
struct LimitOutput
{
    std::vector<OutgoingBorrowRequest> borrowRequests;
    std::vector<ResolvedTicket> resolved;
};

} // namespace teaselreach::limit
