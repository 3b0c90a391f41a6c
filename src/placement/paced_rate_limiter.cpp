/** @file paced_rate_limiter.cpp Rate limiting of accounts at an even pace and by priority. */
#include "placement/paced_rate_limiter_base.h"
#include "placement/restart_share_func.h"

#include <cmath>
#include <numeric>

namespace teaselreach::proxy {

namespace {

/** Length of a time slot in which requests are counted. */
constexpr core::Millis slotLength {50};
/** Credit of a paced rate that may be saved up while no request arrives. */
constexpr core::Millis pacedCredit {50};
/** The same for the highest priority, which is not to be refused for random variation. */
constexpr core::Millis highPriorityCredit {300};
constexpr int highPriorityCreditRequests = 2;

double toSeconds(core::Micros time)
{
    return std::chrono::duration<double>(time).count();
}

core::Micros toMicros(double seconds)
{
    return std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(seconds));
}

/** @return Whether a paced rate allows a request; if so, `next` moves to the time of another. */
bool takePaced(core::MonoTime now, double ratePerSecond, core::MonoTime &next,
               core::Micros credit = pacedCredit)
{
    if (ratePerSecond <= 0 || now < next)
        return false;
    next = std::max(next, now - credit) + toMicros(1 / ratePerSecond);
    return true;
}

} // namespace

std::string_view admissionReasonName(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::Admitted:
        return "admitted";
    case AdmissionReason::LimitReached:
        return "limit_reached";
    case AdmissionReason::Paced:
        return "paced";
    case AdmissionReason::LowerPriority:
        return "lower_priority";
    case AdmissionReason::HistoryUnknown:
        return "history_unknown";
    }
    return "";
}

PacedRateLimiter::PacedRateLimiter(AccountRateLimiterOptions options)
    : options_(options)
{ }

void PacedRateLimiter::setShares(core::MonoTime now, double own,
                                 std::span<const PoolMember> members)
{
    if (now - idleRemovedAt_ > options_.window)
        removeIdle(now);
    for (auto &[id, member] : members_)
        member.isPooled = false;
    ownShare_ = std::clamp(own, 0.0, 1.0);
    poolShare_ = ownShare_;
    poolSize_ = 1;
    for (const PoolMember &member : members) {
        members_[member.id] = member;
        if (!member.isPooled)
            continue;
        poolShare_ = std::min(1.0, poolShare_ + member.share);
        ++poolSize_;
    }
}

PacedRateLimiter::Slot PacedRateLimiter::slotAt(core::MonoTime now) const
{
    return now.time_since_epoch() / core::Micros(slotLength);
}

PacedRateLimiter::Slot PacedRateLimiter::slotsPerWindow() const
{
    return std::max<Slot>(1, options_.window / core::Micros(slotLength));
}

double PacedRateLimiter::allowedBy(const Account &account) const
{
    const double nominal = account.ratePerSecond * windowSeconds() + account.burst;
    return nominal * (1 + options_.overrunRatio) + options_.overrunRequests;
}

double PacedRateLimiter::limitOf(const Account &account) const
{
    const double nominal = account.ratePerSecond * windowSeconds() + account.burst;
    return std::max(nominal, allowedBy(account) - options_.reserveSeconds * account.ratePerSecond);
}

/** @return The part of the share that may be used although the admissions of this VM's earlier
 * process are unknown or known only in part; 1 after the first window. */
double PacedRateLimiter::knownPart(core::MonoTime now, const Account &account,
                                   const State &state) const
{
    if (!restartedAt_ || now - *restartedAt_ >= options_.window || state.isLearned)
        return 1;
    if (historyAt_ && isHistoryComplete_) {
        const double elapsed = toSeconds(now - *historyAt_) / windowSeconds();
        const double known = options_.pacing.shareIfBelowHalf;
        return std::min(1.0, known + (1 - known) * elapsed);
    }
    const double age = toSeconds(now - *restartedAt_);
    const double overrun = allowedBy(account) / limitOf(account) - 1;
    double usable = shareAfterRestart(options_, now - *restartedAt_);
    if (const auto found = earlierLevels_.find(account.id); found != earlierLevels_.end())
        usable = std::min(usable, partLeft(options_, overrun, found->second, now - *restartedAt_));
    const int asked = state.own.total() + state.refused.total();
    const double expected = account.ratePerSecond * ownShare_ * age;
    if (asked > options_.overloadFactor * expected + options_.overloadRequests)
        usable = std::min(usable, overrun);
    return usable;
}

void PacedRateLimiter::earlierUseKnown(const AccountUseRecord &record)
{
    for (const AccountUseLevel &use : record)
        raiseLevels(earlierLevels_[use.account], use);
}

AccountUseRecord PacedRateLimiter::unsteadyUse(core::MonoTime now) const
{
    AccountUseRecord record;
    const Slot slot = slotAt(now);
    for (const auto &entry : states_) {
        const core::ClientAccountId &id = entry.first;
        const State &state = entry.second;
        const auto account = accounts_.find(id);
        if (account == accounts_.end() || poolShare_ <= 0)
            continue;
        const double limit = limitOf(account->second);
        const auto usedWithin = [&](core::Micros time) {
            const Slot oldest = slot - time / core::Micros(slotLength);
            int counted = state.own.since(oldest) + state.earlier.since(oldest);
            for (const auto &[vm, counts] : state.others) {
                const auto member = members_.find(vm);
                if (member != members_.end() && member->second.isPooled)
                    counted += counts.since(oldest);
            }
            return counted / (limit * poolShare_);
        };
        if (!isSteadyUse(options_, allowedBy(account->second) / limit - 1, usedWithin))
            record.push_back(useLevels(options_, id, usedWithin));
    }
    return record;
}

void PacedRateLimiter::prune(Slot oldest, State &state) const
{
    state.own.removeBefore(oldest);
    state.earlier.removeBefore(oldest);
    state.refused.removeBefore(oldest);
    for (auto &[id, counts] : state.others)
        counts.removeBefore(oldest);
    std::erase_if(state.others, [](const auto &entry) { return entry.second.total() == 0; });
}

PacedRateLimiter::State &PacedRateLimiter::prunedState(core::MonoTime now,
                                                       const core::ClientAccountId &account)
{
    State &state = states_[account];
    const Slot slot = slotAt(now);
    prune(slot - slotsPerWindow(), state);
    const Slot demandSlots = options_.pacing.demandTime / core::Micros(slotLength);
    for (auto &[priority, arrivals] : state.arrivals)
        arrivals.removeBefore(slot - demandSlots + 1);
    std::erase_if(state.arrivals, [](const auto &entry) { return entry.second.total() == 0; });
    return state;
}

/** Forgets accounts without requests in the window, and VMs without any at an account. */
void PacedRateLimiter::removeIdle(core::MonoTime now)
{
    idleRemovedAt_ = now;
    for (auto &[id, state] : states_)
        prune(slotAt(now) - slotsPerWindow(), state);
    std::erase_if(states_, [](const auto &entry) {
        const State &state = entry.second;
        return state.own.total() == 0 && state.earlier.total() == 0 && state.others.empty()
            && state.refused.total() == 0 && state.unreported == 0;
    });
}

double PacedRateLimiter::shareOf(const core::VmId &id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? 0 : found->second.share;
}

PacedRateLimiter::Budget PacedRateLimiter::budgetOf(core::MonoTime now, const Account &account,
                                                    const State &state) const
{
    const Slot slot = slotAt(now);
    const double known = knownPart(now, account, state);
    const Slot delaySlots = options_.pacing.reportDelay / core::Micros(slotLength);
    const auto slots = static_cast<std::size_t>(slotsPerWindow() + 1);
    Budget budget {.known = known,
                   .rate = account.ratePerSecond,
                   .limit = limitOf(account),
                   .reserve = allowedBy(account) - limitOf(account),
                   .poolPart = poolShare_ * known,
                   .ownPart = ownShare_ * known,
                   .recent = state.own.since(slot - delaySlots),
                   .pool = std::vector<int>(slots),
                   .own = std::vector<int>(slots)};
    state.own.addTo(slot, budget.own);
    state.earlier.addTo(slot, budget.own);
    budget.pool = budget.own;
    for (const auto &[id, counts] : state.others) {
        const auto member = members_.find(id);
        if (member != members_.end() && member->second.isPooled)
            counts.addTo(slot, budget.pool);
        else
            budget.excess += std::max(0.0, counts.total() - budget.limit * shareOf(id));
    }
    return budget;
}

PacedRateLimiter::Demand PacedRateLimiter::demandOf(const Budget &budget, const State &state,
                                                    int priority) const
{
    Demand demand;
    for (const auto &[other, arrivals] : state.arrivals) {
        if (other < priority)
            demand.higher += arrivals.total() / toSeconds(options_.pacing.demandTime);
        demand.hasLower = demand.hasLower || other > priority;
    }
    const double counted = std::accumulate(budget.pool.begin(), budget.pool.end(), 0.0);
    // Random variation of a small account within its rate must not count as more demand.
    constexpr double aboveRateFrom = 0.9; // Part of the limit.
    demand.isAboveRate = counted + state.refused.total()
        > std::max(budget.rate * windowSeconds(), aboveRateFrom * budget.limit) * budget.poolPart;
    return demand;
}

PacedRateLimiter::Line PacedRateLimiter::floorLine(const Budget &budget) const
{
    const double slope = options_.pacing.floorRatio * budget.rate;
    return {.start = budget.limit - slope * windowSeconds(), .slope = slope};
}

PacedRateLimiter::Line PacedRateLimiter::steadyLine(const Budget &budget) const
{
    /** Least start of the line, as a part of the limit, for accounts without a burst. */
    constexpr double minStartRatio = 0.05;
    /** Start for each pooled VM that suffices for random variation, in requests: with less, small
     * accounts within their rate are refused. */
    constexpr double minStartPerVm = 4;
    const double burst = budget.limit - budget.rate * windowSeconds();
    const double wanted = std::max(options_.pacing.steadyBurstRatio * burst,
                                   minStartPerVm * poolSize_ / std::max(1e-9, budget.poolPart));
    const double start = std::max(std::min(burst, wanted), minStartRatio * budget.limit);
    return {.start = start, .slope = (budget.limit - start) / windowSeconds()};
}

/** @param part Part of the limit. @param excess Requests by which the line is lowered.
 * @return The least distance of the counted requests to a line; at least one request is allowed. */
double PacedRateLimiter::headroom(const Line &line, double part, double excess,
                                  const std::vector<int> &counts) const
{
    double least = line.start * part;
    double counted = 0;
    for (std::size_t age = 0; age < counts.size(); ++age) {
        counted += counts[age];
        const double seconds = static_cast<double>(age) * toSeconds(slotLength);
        const double allowed = std::max(1.0, (line.start + line.slope * seconds) * part - excess);
        least = age == 0 ? allowed - counted : std::min(least, allowed - counted);
    }
    return least;
}

/** @return Whether one more request stays below a line, also if the other pooled VMs admit
 * requests that this one does not know of yet.
 * @param higherRate Demand of higher priorities at this VM. Room for some of it is left, but at
 * most half of the line's start. */
bool PacedRateLimiter::isBelow(const Budget &budget, const Line &line, double higherRate) const
{
    /** Least room at each VM for higher priorities, in requests. */
    constexpr double minReserve = 3;
    const double reserve = higherRate > 0
        ? std::max(minReserve, toSeconds(options_.pacing.priorityReserve) * higherRate)
        : 0;
    const double poolReserve = std::min(reserve * poolSize_, line.start * budget.poolPart / 2);
    const double room = headroom(line, budget.poolPart, budget.excess, budget.pool) - poolReserve;
    if (room < 1 || !isWithinLimit(budget))
        return false;
    // Within the report delay, each VM takes a part of the room that they all see. Twice an equal
    // part keeps small accounts from refusals; an excess only delays later requests.
    if (budget.recent * poolSize_ <= 2 * (room - 1) + budget.recent)
        return true;
    const double ownReserve = std::min(reserve, line.start * budget.ownPart / 2);
    return headroom(line, budget.ownPart, 0, budget.own) - ownReserve >= 1;
}

/** @return Whether the window's limit admits one more request, even if all pooled VMs admit one at
 * this moment. */
bool PacedRateLimiter::isWithinLimit(const Budget &budget) const
{
    const auto roomOf = [&](double part, double excess, const std::vector<int> &counts) {
        return std::max(1.0, budget.limit * part - excess)
            - std::accumulate(counts.begin(), counts.end(), 0.0);
    };
    const double room = roomOf(budget.poolPart, budget.excess, budget.pool);
    if (room < 1)
        return false;
    // The pool's part of the reserve: half of it, or all if that is less than one request per VM.
    const double reserve = budget.reserve * budget.poolPart;
    const double tolerated = std::max(std::min(poolSize_ - 1.0, reserve), reserve / 2);
    return (budget.recent + 1) * poolSize_ <= room + budget.recent + tolerated
        || roomOf(budget.ownPart, 0, budget.own) >= 1;
}

AdmissionReason PacedRateLimiter::admit(core::MonoTime now, const Account &account, int priority)
{
    if (account.ratePerSecond <= 0)
        return AdmissionReason::Admitted;
    State &state = prunedState(now, account.id);
    state.arrivals[priority].add(slotAt(now), 1);
    const AdmissionReason reason = decide(now, account, state, priority);
    if (reason != AdmissionReason::Admitted) {
        state.refused.add(slotAt(now), 1);
        return reason;
    }
    state.own.add(slotAt(now), 1);
    ++state.unreported;
    return reason;
}

AdmissionReason PacedRateLimiter::decide(core::MonoTime now, const Account &account, State &state,
                                         int priority)
{
    const Budget budget = budgetOf(now, account, state);
    // A part of the limit is too little to pace a small account; it is a bound only.
    if (budget.known < 1)
        return isWithinLimit(budget) ? AdmissionReason::Admitted : AdmissionReason::HistoryUnknown;
    const Demand demand = demandOf(budget, state, priority);
    const bool isAdmitted = demand.isAboveRate ? admitAboveRate(now, budget, demand, state)
                                               : isBelow(budget, floorLine(budget), demand.higher);
    if (!isAdmitted)
        return refusalReason(budget, demand);
    if (!demand.isAboveRate) // A burst leaves no credit.
        takePaced(now, options_.pacing.floorRatio * budget.rate * budget.ownPart, state.nextPaced);
    return AdmissionReason::Admitted;
}

bool PacedRateLimiter::admitAboveRate(core::MonoTime now, const Budget &budget,
                                      const Demand &demand, State &state) const
{
    const PacingOptions &pacing = options_.pacing;
    const double lowRate = pacing.lowPriorityRatio * budget.rate;
    double floorRate = pacing.floorRatio * budget.rate;
    Line line = steadyLine(budget);
    if (demand.hasLower || demand.higher > 0) {
        line.slope -= lowRate;
        floorRate -= lowRate;
    }
    const bool isPreferred = demand.hasLower && demand.higher == 0;
    const double ownFloor = floorRate * budget.ownPart;
    const core::Micros credit = isPreferred
        ? std::max(core::Micros(highPriorityCredit),
                   toMicros(highPriorityCreditRequests / ownFloor))
        : pacedCredit;
    if (isBelow(budget, line, demand.higher)) {
        if (demand.higher == 0)
            takePaced(now, ownFloor, state.nextPaced, credit);
        return true;
    }
    // What lower priorities use of the line does not count against the highest one.
    if (isPreferred && isWithinLimit(budget) && takePaced(now, ownFloor, state.nextPaced, credit))
        return true;
    /** Part of the floor rate above which higher priorities leave nothing of it. */
    constexpr double dominantPart = 0.5;
    if (demand.higher * poolSize_ < dominantPart * floorRate * budget.poolPart)
        return admitAtFloor(now, budget, floorRate, state);
    return isWithinLimit(budget) && takePaced(now, lowRate * budget.ownPart, state.nextLow);
}

/** Admits at a rate what the steady line does not, for example after a burst.
 * @param rate Requests per second, of the whole fleet. */
bool PacedRateLimiter::admitAtFloor(core::MonoTime now, const Budget &budget, double rate,
                                    State &state) const
{
    /** Shortest time over which the pool's rate is measured; longer than the report delay. */
    constexpr double shortest = 0.3;
    const double poolRate = rate * budget.poolPart;
    const double seconds = std::max(shortest, 1 / poolRate);
    const auto slots = std::min(
        budget.pool.size(), static_cast<std::size_t>(std::ceil(seconds / toSeconds(slotLength))));
    const int counted = std::accumulate(
        budget.pool.begin(), budget.pool.begin() + static_cast<std::ptrdiff_t>(slots), 0);
    if (counted + 1 > poolRate * seconds + 1e-9)
        return false;
    if (isBelow(budget, floorLine(budget))) {
        takePaced(now, rate * budget.ownPart, state.nextPaced);
        return true;
    }
    return isWithinLimit(budget) && takePaced(now, rate * budget.ownPart, state.nextPaced);
}

AdmissionReason PacedRateLimiter::refusalReason(const Budget &budget, const Demand &demand) const
{
    if (!isWithinLimit(budget))
        return AdmissionReason::LimitReached;
    return demand.higher > 0 && demand.isAboveRate ? AdmissionReason::LowerPriority
                                                   : AdmissionReason::Paced;
}

core::Micros PacedRateLimiter::timeUntilAdmission(core::MonoTime now, const Account &account)
{
    const State &state = prunedState(now, account.id);
    const Budget budget = budgetOf(now, account, state);
    const Line line =
        demandOf(budget, state, 0).isAboveRate ? steadyLine(budget) : floorLine(budget);
    const double missing = 1 - headroom(line, budget.poolPart, budget.excess, budget.pool);
    const double rate = std::max(1 / windowSeconds(), line.slope * budget.poolPart);
    return std::clamp(toMicros(missing / rate), core::Micros(slotLength), options_.window);
}

void PacedRateLimiter::refund(const core::ClientAccountId &account)
{
    const auto found = states_.find(account);
    if (found == states_.end() || !found->second.own.removeNewest())
        return;
    --found->second.unreported;
}

std::size_t PacedRateLimiter::pacedAccounts() const
{
    return static_cast<std::size_t>(
        std::count_if(states_.begin(), states_.end(),
                      [](const auto &entry) { return entry.second.refused.total() > 0; }));
}

} // namespace teaselreach::proxy
