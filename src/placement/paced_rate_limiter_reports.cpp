/** @file paced_rate_limiter_reports.cpp What VMs tell each other of the use of account limits. */
#include "placement/paced_rate_limiter_base.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace teaselreach::proxy {

namespace {

/** Requests in a window that a report may state, as a multiple of what the account is allowed. */
constexpr double maxPlausibleRatio = 4;
/** Accounts of one report, so that it fits into a datagram; the others follow in the next ones. */
constexpr std::size_t maxReported = 40;
/** Accounts of one report whose count in the window is repeated. */
constexpr std::size_t maxRefreshed = 8;
/** Accounts of one history, so that it fits into a datagram. */
constexpr std::size_t maxHistory = 12;
/** Part of its limit above which an account's history is told. */
constexpr double historyFrom = 0.5;

/** @param last The last account of the turn before; set to that of this one.
 * @return Up to a number of accounts, each in its turn. */
std::vector<core::ClientAccountId> inTurns(std::vector<core::ClientAccountId> accounts,
                                           core::ClientAccountId &last, std::size_t count)
{
    std::sort(accounts.begin(), accounts.end());
    const auto first = std::upper_bound(accounts.begin(), accounts.end(), last);
    std::rotate(accounts.begin(), first, accounts.end());
    accounts.resize(std::min(accounts.size(), count));
    if (!accounts.empty())
        last = accounts.back();
    return accounts;
}

} // namespace

void PacedRateLimiter::configure(std::span<const Account> accounts)
{
    accounts_.clear();
    for (const Account &account : accounts)
        accounts_.emplace(account.id, account);
}

bool PacedRateLimiter::isPlausible(const core::ClientAccountId &account, int requests) const
{
    const auto found = accounts_.find(account);
    return found != accounts_.end() && requests >= 0
        && requests <= maxPlausibleRatio * std::max(1.0, allowedBy(found->second));
}

bool PacedRateLimiter::usageReported(core::MonoTime now, const core::VmId &sender,
                                     const AccountUsage &usage)
{
    if (!isPlausible(usage.account, usage.requests) || !isPlausible(usage.account, usage.inWindow))
        return false;
    SlotCounts &counts = prunedState(now, usage.account).others[sender];
    counts.add(slotAt(now), usage.requests);
    // The own count of the sender ends before this record of it; a gap is a lost report.
    if (usage.inWindow > counts.total())
        counts.add(slotAt(now), usage.inWindow - counts.total());
    return true;
}

std::vector<AccountUsage> PacedRateLimiter::takeUsage(core::MonoTime now)
{
    std::vector<core::ClientAccountId> changed;
    std::vector<core::ClientAccountId> unchanged;
    const Slot oldest = slotAt(now) - slotsPerWindow();
    for (auto &[account, state] : states_) {
        prune(oldest, state);
        if (state.unreported > 0)
            changed.push_back(account);
        else if (state.own.total() > 0)
            unchanged.push_back(account);
    }
    std::vector<AccountUsage> usage;
    for (const core::ClientAccountId &account : inTurns(changed, reportedLast_, maxReported)) {
        State &state = states_.at(account);
        usage.push_back({.account = account,
                         .requests = std::exchange(state.unreported, 0),
                         .inWindow = state.own.total()});
    }
    const std::size_t room = std::min(maxRefreshed, maxReported - usage.size());
    for (const core::ClientAccountId &account : inTurns(unchanged, refreshedLast_, room))
        usage.push_back({.account = account, .inWindow = states_.at(account).own.total()});
    return usage;
}

/** Counts the requests of one part of the window, spread over its slots. */
void PacedRateLimiter::addPart(Slot now, std::size_t part, int requests, SlotCounts &counts) const
{
    const auto parts = static_cast<Slot>(WindowParts {}.size());
    const auto index = static_cast<Slot>(part);
    const Slot newest = now - index * slotsPerWindow() / parts;
    const Slot oldest = now - (index + 1) * slotsPerWindow() / parts + 1;
    const auto slots = static_cast<int>(newest - oldest + 1);
    for (int i = 0; i < slots; ++i) {
        const int share = requests * (i + 1) / slots - requests * i / slots;
        if (share > 0)
            counts.add(newest - i, share);
    }
}

WindowParts PacedRateLimiter::partsOf(Slot now, const SlotCounts &counts) const
{
    std::vector<int> byAge(static_cast<std::size_t>(slotsPerWindow() + 1));
    counts.addTo(now, byAge);
    WindowParts parts {};
    for (std::size_t age = 0; age < byAge.size(); ++age)
        parts[std::min(parts.size() - 1, age * parts.size() / byAge.size())] += byAge[age];
    return parts;
}

UsageHistory PacedRateLimiter::historyFor(core::MonoTime now, const core::VmId &receiver)
{
    struct Candidate
    {
        double fill = 0;
        AccountHistory history;
    };
    std::vector<Candidate> candidates;
    const Slot slot = slotAt(now);
    for (auto &[id, state] : states_) {
        const auto account = accounts_.find(id);
        if (account == accounts_.end())
            continue;
        prune(slot - slotsPerWindow(), state);
        const double limit = limitOf(account->second);
        Candidate candidate {.fill = static_cast<double>(state.own.total() + state.earlier.total()),
                             .history = {.account = id, .sender = partsOf(slot, state.own)}};
        const WindowParts earlier = partsOf(slot, state.earlier);
        for (std::size_t part = 0; part < earlier.size(); ++part)
            candidate.history.sender[part] += earlier[part];
        double share = ownShare_;
        for (const auto &[vm, counts] : state.others) {
            candidate.fill += counts.total();
            share += shareOf(vm);
            if (vm == receiver)
                candidate.history.receiver = partsOf(slot, counts);
            else if (counts.total() > limit * shareOf(vm))
                candidate.history.borrowers.push_back({.vm = vm, .requests = counts.total()});
        }
        candidate.fill /= limit * std::max(share, poolShare_);
        if (candidate.fill > historyFrom)
            candidates.push_back(std::move(candidate));
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.fill > b.fill; });
    UsageHistory result {.isComplete = candidates.size() <= maxHistory};
    candidates.resize(std::min(candidates.size(), maxHistory));
    for (Candidate &candidate : candidates)
        result.accounts.push_back(std::move(candidate.history));
    return result;
}

/** Takes over what another VM recorded of this one, as far as this process did not admit it. */
void PacedRateLimiter::learnEarlier(Slot now, const WindowParts &reported, State &state) const
{
    const WindowParts own = partsOf(now, state.own);
    SlotCounts earlier;
    for (std::size_t part = 0; part < own.size(); ++part)
        addPart(now, part, std::max(0, reported[part] - own[part]), earlier);
    // Other VMs may have received less of it.
    if (earlier.total() > state.earlier.total())
        state.earlier = earlier;
}

int PacedRateLimiter::historyReported(core::MonoTime now, const core::VmId &sender,
                                      const UsageHistory &history)
{
    int rejected = 0;
    const Slot slot = slotAt(now);
    const bool isRestarted = restartedAt_ && now - *restartedAt_ < options_.window;
    const auto isValid = [&](const AccountHistory &entry) {
        const auto isPart = [&](int requests) { return isPlausible(entry.account, requests); };
        return std::all_of(entry.sender.begin(), entry.sender.end(), isPart)
            && std::all_of(entry.receiver.begin(), entry.receiver.end(), isPart)
            && std::all_of(entry.borrowers.begin(), entry.borrowers.end(),
                           [&](const VmUsage &usage) { return isPart(usage.requests); });
    };
    for (const AccountHistory &entry : history.accounts) {
        if (!isValid(entry)) {
            ++rejected;
            continue;
        }
        State &state = prunedState(now, entry.account);
        // What the sender says of itself replaces what this VM recorded of it.
        SlotCounts &counts = state.others[sender] = {};
        for (std::size_t part = 0; part < entry.sender.size(); ++part)
            addPart(slot, part, entry.sender[part], counts);
        if (isRestarted)
            learnEarlier(slot, entry.receiver, state);
        for (const VmUsage &usage : entry.borrowers) {
            SlotCounts &borrowed = state.others[usage.vm];
            if (usage.requests > borrowed.total())
                borrowed.add(slot, usage.requests - borrowed.total());
        }
        state.isLearned = true;
    }
    isHistoryComplete_ = isHistoryComplete_ || (history.isComplete && rejected == 0);
    if (!historyAt_)
        historyAt_ = now;
    return rejected;
}

} // namespace teaselreach::proxy
