/** @file paced_rate_limiter_base.h Rate limiting of accounts at an even pace and by priority. */
#pragma once

#include "placement/account_limit_type.h"
#include "placement/slot_counts_base.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaselreach::proxy {

/** What decided on a request of an account with a rate limit. */
enum class AdmissionReason : std::uint8_t {
    Admitted,       ///< Within the limit.
    LimitReached,   ///< The window's limit is used.
    Paced,          ///< The account has used its burst and is admitted at its rate.
    LowerPriority,  ///< Routes of a higher priority need the account's rate.
    HistoryUnknown, ///< This VM has just started; what its earlier process admitted is unknown.
};

/** @return The name of a reason in logs and metrics; these names do not change. */
std::string_view admissionReasonName(AdmissionReason reason);

/**
 * Rate limiter for client accounts that admits a burst at once and then an even rate.
 *
 * A window's limit N is rate x window + burst, plus a part of the tolerated overrun. A request is
 * admitted if the requests of the last s seconds stay below a line that reaches N at the length of
 * the window, for each s. While the account's demand is within its rate, the line's slope is
 * floorRatio x rate, so that a burst leaves that rate for the seconds after it; while demand is
 * above the rate, the slope is at least the rate, so that admission is even.
 *
 * The VMs of a pool share their parts of N as long as each knows what the others admit. The
 * requests of a VM outside this group count only as far as they exceed that VM's own share.
 */
class PacedRateLimiter
{
public:
    /** @param options Settings of the limits. */
    explicit PacedRateLimiter(AccountRateLimiterOptions options);

    /** Records that this process replaces an earlier one whose admissions are unknown. */
    void processRestarted(core::MonoTime now) { restartedAt_ = now; }
    /** Takes over what is known of the use of accounts before the restart; see
     * AccountRateLimiter. It counts until another VM tells its history. */
    void earlierUseKnown(const AccountUseRecord &record);
    /** @return The accounts whose use is not steady, by the requests of the pooled VMs. */
    AccountUseRecord unsteadyUse(core::MonoTime now) const;
    /** Sets the accounts with their limits. Reports on others are rejected from now on. */
    void configure(std::span<const Account> accounts);
    /** Sets the shares of every limit. @param own Share of this VM. @param members The other VMs of
     * its pool; a VM that is no longer among them keeps its last share. */
    void setShares(core::MonoTime now, double own, std::span<const PoolMember> members);

    /** Admits a request, and counts it, if the account is within its limit and pace.
     * @param priority Priority of the request's route, 0 is the highest. */
    AdmissionReason admit(core::MonoTime now, const Account &account, int priority);
    /** @return Estimated time until a request of the account is admitted. */
    core::Micros timeUntilAdmission(core::MonoTime now, const Account &account);
    /** Removes the account's last admitted request from the count. */
    void refund(const core::ClientAccountId &account);

    /** Counts requests that another VM of the pool admitted.
     * @return False if the report is implausible or the account unknown; it is then ignored. */
    bool usageReported(core::MonoTime now, const core::VmId &sender, const AccountUsage &usage);
    /** @return The requests that this VM has admitted since the last call, and the counts in the
     * window of a few other accounts, in turns. Resets the former. */
    std::vector<AccountUsage> takeUsage(core::MonoTime now);
    /** @return What another VM of the pool needs in order to continue after a restart. */
    UsageHistory historyFor(core::MonoTime now, const core::VmId &receiver);
    /** Takes over the history that another VM of the pool has recorded.
     * @return Number of accounts that were rejected as implausible or unknown. */
    int historyReported(core::MonoTime now, const core::VmId &sender, const UsageHistory &history);

    /** @return The share of each limit in use: of this VM and the pooled members. */
    double effectiveShare() const { return poolShare_; }
    /** @return Number of accounts that are refused requests or were in the last window. */
    std::size_t pacedAccounts() const;

private:
    using Slot = SlotCounts::Slot;

    /** What is known of one account. */
    struct State
    {
        SlotCounts own;     ///< Admitted by this process.
        SlotCounts earlier; ///< Admitted by this VM's earlier process, as others have reported.
        std::map<core::VmId, SlotCounts> others;
        SlotCounts refused;
        std::map<int, SlotCounts> arrivals; ///< By priority.
        int unreported = 0;
        core::MonoTime nextPaced {}; ///< When the own share of the floor rate allows a request.
        core::MonoTime nextLow {};   ///< The same for the minimum of lower priorities.
        bool isLearned = false;      ///< Another VM has told the history since the restart.
    };

    /** Upper bound of the requests in the last s seconds: start + slope x s. */
    struct Line
    {
        double start = 0;
        double slope = 0; ///< Requests per second.
    };

    /** The limit and the counts that apply to one decision, by the pool and by this VM alone. */
    struct Budget
    {
        double known = 1;      ///< See knownPart().
        double rate = 0;       ///< The account's, per second.
        double limit = 0;      ///< Per window, of the whole fleet.
        double reserve = 0;    ///< Allowed per window beyond the limit.
        double poolPart = 0;   ///< Part of the limit that the pooled VMs may use.
        double ownPart = 0;    ///< Part of the limit that this VM may use without the others.
        double excess = 0;     ///< Requests of unpooled VMs beyond their own shares.
        int recent = 0;        ///< Admitted by this VM and perhaps not known to the others yet.
        std::vector<int> pool; ///< Counted requests of the pooled VMs by age in slots.
        std::vector<int> own;  ///< Those of this VM.
    };

    /** Demand of one request's account by priority, in requests per second at this VM. */
    struct Demand
    {
        double higher = 0;
        bool hasLower = false;
        bool isAboveRate = false; ///< Demand of all priorities together.
    };

    Slot slotAt(core::MonoTime now) const;
    Slot slotsPerWindow() const;
    double windowSeconds() const { return std::chrono::duration<double>(options_.window).count(); }
    double allowedBy(const Account &account) const;
    double limitOf(const Account &account) const;
    double knownPart(core::MonoTime now, const Account &account, const State &state) const;
    State &prunedState(core::MonoTime now, const core::ClientAccountId &account);
    void prune(Slot oldest, State &state) const;
    double shareOf(const core::VmId &id) const;
    Budget budgetOf(core::MonoTime now, const Account &account, const State &state) const;
    Demand demandOf(const Budget &budget, const State &state, int priority) const;
    Line floorLine(const Budget &budget) const;
    Line steadyLine(const Budget &budget) const;
    double headroom(const Line &line, double part, double excess,
                    const std::vector<int> &counts) const;
    bool isBelow(const Budget &budget, const Line &line, double higherRate = 0) const;
    bool isWithinLimit(const Budget &budget) const;
    AdmissionReason decide(core::MonoTime now, const Account &account, State &state, int priority);
    bool admitAboveRate(core::MonoTime now, const Budget &budget, const Demand &demand,
                        State &state) const;
    bool admitAtFloor(core::MonoTime now, const Budget &budget, double rate, State &state) const;
    AdmissionReason refusalReason(const Budget &budget, const Demand &demand) const;
    WindowParts partsOf(Slot now, const SlotCounts &counts) const;
    void learnEarlier(Slot now, const WindowParts &reported, State &state) const;
    void addPart(Slot now, std::size_t part, int requests, SlotCounts &counts) const;
    bool isPlausible(const core::ClientAccountId &account, int requests) const;
    void removeIdle(core::MonoTime now);

    AccountRateLimiterOptions options_;
    double ownShare_ = 0;
    double poolShare_ = 0;
    int poolSize_ = 1;
    std::map<core::VmId, PoolMember> members_;
    std::optional<core::MonoTime> restartedAt_;
    /** Levels of the accounts whose use was not steady before the restart. */
    std::unordered_map<core::ClientAccountId, AccountUseLevel, core::StrongHash> earlierLevels_;
    std::optional<core::MonoTime> historyAt_; ///< First answer of another VM since the restart.
    bool isHistoryComplete_ = false;
    std::unordered_map<core::ClientAccountId, Account, core::StrongHash> accounts_;
    std::unordered_map<core::ClientAccountId, State, core::StrongHash> states_;
    core::ClientAccountId refreshedLast_; ///< Account whose window count was sent last.
    core::ClientAccountId reportedLast_;  ///< The same for accounts with new admissions.
    core::MonoTime idleRemovedAt_ {};
};

} // namespace teaselreach::proxy
