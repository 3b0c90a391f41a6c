/** @file account_rate_limiter.cpp Rate limiting of accounts by this VM's share of each limit. */
#include "placement/account_rate_limiter_base.h"
#include "placement/restart_share_func.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

AccountRateLimiter::AccountRateLimiter(AccountRateLimiterOptions options)
    : options_(options)
{
    if (options_.pacing.enabled)
        paced_.emplace(options_);
}

void AccountRateLimiter::processRestarted(core::MonoTime now)
{
    restartedAt_ = now;
    earlierLevels_.clear();
    for (auto &[account, window] : windows_)
        window.requestsSinceRestart = 0;
    if (paced_)
        paced_->processRestarted(now);
}

double AccountRateLimiter::effectiveShare() const
{
    if (paced_)
        return paced_->effectiveShare();
    return isPooled() ? poolShare_ : ownShare_;
}

void AccountRateLimiter::setShares(double own, double pool)
{
    ownShare_ = std::clamp(own, 0.0, 1.0);
    poolShare_ = std::clamp(pool, 0.0, 1.0);
}

std::size_t AccountRateLimiter::countedRequests(const Window &window) const
{
    return window.own.size() + (isPooled() ? window.others.size() : 0);
}

void AccountRateLimiter::prune(core::MonoTime now, Window &window) const
{
    for (std::deque<core::MonoTime> *times : {&window.own, &window.others}) {
        while (!times->empty() && now - times->front() > options_.window)
            times->pop_front();
    }
}

AccountRateLimiter::Window &AccountRateLimiter::prunedWindow(core::MonoTime now,
                                                             const core::ClientAccountId &account)
{
    Window &window = windows_[account];
    prune(now, window);
    return window;
}

AccountRateLimiter::WindowLimit AccountRateLimiter::windowLimit(const Account &account) const
{
    const double seconds = std::chrono::duration<double>(options_.window).count();
    const double nominal = account.ratePerSecond * seconds + account.burst;
    const double allowed = nominal * (1 + options_.overrunRatio) + options_.overrunRequests;
    const double usable =
        std::max(nominal, allowed - options_.reserveSeconds * account.ratePerSecond);
    return {.usable = usable, .overrun = allowed / usable - 1};
}

std::size_t AccountRateLimiter::maxRequests(core::MonoTime now, const Account &account,
                                            double share) const
{
    const WindowLimit window = windowLimit(account);
    const double limit = window.usable * share * usablePart(now, account, window.overrun)
        - (isPooled() ? 0 : handedOverUse(now, account));
    // Even the smallest share admits one request per window.
    return static_cast<std::size_t>(std::max(1.0, std::floor(limit)));
}

double AccountRateLimiter::handedOverUse(core::MonoTime now, const Account &account) const
{
    double admitted = 0;
    double share = 0;
    double kept = 0;
    double takenOver = 0;
    const double usable = windowLimit(account).usable;
    for (const LeavingShare &leaving : leaving_) {
        share += leaving.share;
        kept += leaving.kept;
        takenOver = std::max(takenOver, leaving.takenOver);
        const auto history = histories_.find(leaving.vm);
        admitted += history == histories_.end() ? usable * leaving.share
                                                : admittedBy(now, account.id, history->second);
    }
    // What they admitted beyond their shares is borrowed from VMs that count it themselves.
    return takenOver * std::max(0.0, std::min(admitted, usable * share) - usable * kept);
}

/** @return Requests in the window that a leaving VM has told of. */
double AccountRateLimiter::admittedBy(core::MonoTime now, const core::ClientAccountId &account,
                                      const ReportedHistory &history) const
{
    const auto parts = history.accounts.find(account);
    if (parts == history.accounts.end())
        return 0;
    double admitted = 0;
    core::Micros age = now - history.receivedAt;
    for (const int requests : parts->second) {
        admitted += age <= options_.window ? requests : 0;
        age += options_.window / parts->second.size();
    }
    return admitted;
}

void AccountRateLimiter::setLeaving(std::vector<LeavingShare> leaving)
{
    leaving_ = std::move(leaving);
    std::erase_if(histories_, [&](const auto &entry) {
        return std::none_of(leaving_.begin(), leaving_.end(),
                            [&](const LeavingShare &share) { return share.vm == entry.first; });
    });
}

void AccountRateLimiter::historyReported(core::MonoTime now, const core::VmId &sender,
                                         const UsageHistory &history)
{
    ReportedHistory &reported = histories_[sender];
    reported.receivedAt = now;
    reported.accounts.clear();
    for (const AccountHistory &entry : history.accounts)
        reported.accounts[entry.account] = entry.sender;
}

UsageHistory AccountRateLimiter::usageHistory(core::MonoTime now)
{
    /** Accounts of one history, so that it fits into a datagram. */
    constexpr std::size_t maxAccounts = 40;
    std::vector<std::pair<std::size_t, AccountHistory>> entries;
    for (auto &[account, window] : windows_) {
        prune(now, window);
        if (window.own.empty())
            continue;
        AccountHistory entry {.account = account};
        const core::Micros part = options_.window / entry.sender.size();
        for (const core::MonoTime &time : window.own) {
            const auto index = static_cast<std::size_t>((now - time) / part);
            ++entry.sender.at(std::min(entry.sender.size() - 1, index));
        }
        entries.emplace_back(window.own.size(), std::move(entry));
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    UsageHistory history {.isComplete = entries.size() <= maxAccounts};
    entries.resize(std::min(entries.size(), maxAccounts));
    for (auto &entry : entries)
        history.accounts.push_back(std::move(entry.second));
    return history;
}

/** @param overrun Tolerated overrun, as a fraction of the limit.
 * @return The fraction of the limit that may be used; below 1 only in the first window after a
 * restart. */
double AccountRateLimiter::usablePart(core::MonoTime now, const Account &account,
                                      double overrun) const
{
    if (!restartedAt_ || now - *restartedAt_ >= options_.window)
        return 1;
    const core::Micros age = now - *restartedAt_;
    double usable = shareAfterRestart(options_, age);
    if (isOverloading(age, account))
        usable = std::min(usable, overrun);
    if (const auto found = earlierLevels_.find(account.id); found != earlierLevels_.end())
        usable = std::min(usable, partLeft(options_, overrun, found->second, age));
    return usable;
}

void AccountRateLimiter::earlierUseKnown(const AccountUseRecord &record)
{
    for (const AccountUseLevel &use : record)
        raiseLevels(earlierLevels_[use.account], use);
    if (paced_)
        paced_->earlierUseKnown(record);
}

/** @return The part of its limit that an account may have used before the restart, in a time that
 * ends now. */
double AccountRateLimiter::earlierUse(core::MonoTime now, const core::ClientAccountId &account,
                                      double overrun, core::Micros time) const
{
    if (!restartedAt_ || now - *restartedAt_ >= time)
        return 0;
    const core::Micros before = time - (now - *restartedAt_);
    const auto found = earlierLevels_.find(account);
    if (found == earlierLevels_.end())
        return steadyUse(options_, overrun, before);
    return found->second.within(std::chrono::duration<double>(before) / options_.window);
}

AccountUseRecord AccountRateLimiter::unsteadyUse(core::MonoTime now) const
{
    if (paced_)
        return paced_->unsteadyUse(now);
    AccountUseRecord record;
    const double share = effectiveShare();
    for (const auto &entry : windows_) {
        const core::ClientAccountId &account = entry.first;
        const Window &window = entry.second;
        if (!window.limit || share <= 0)
            continue;
        const WindowLimit limit = windowLimit(*window.limit);
        const auto usedWithin = [&](core::Micros time) {
            const auto count = [&](const std::deque<core::MonoTime> &times) {
                return times.end() - std::lower_bound(times.begin(), times.end(), now - time);
            };
            const auto counted = count(window.own) + (isPooled() ? count(window.others) : 0);
            return earlierUse(now, account, limit.overrun, time)
                + static_cast<double>(counted) / (limit.usable * share);
        };
        const bool hasEarlierUse = earlierUse(now, account, limit.overrun, options_.window) > 0;
        if (hasEarlierUse ? usedWithin(options_.window) > 1
                          : !isSteadyUse(options_, limit.overrun, usedWithin))
            record.push_back(useLevels(options_, account, usedWithin));
    }
    return record;
}

bool AccountRateLimiter::isOverloading(core::Micros age, const Account &account) const
{
    const auto found = windows_.find(account.id);
    if (found == windows_.end())
        return false;
    const double expected =
        account.ratePerSecond * ownShare_ * std::chrono::duration<double>(age).count();
    return found->second.requestsSinceRestart
        > options_.overloadFactor * expected + options_.overloadRequests;
}

AdmissionReason AccountRateLimiter::decide(core::MonoTime now, const Account &account, int priority)
{
    if (paced_)
        return paced_->admit(now, account, priority);
    return admitInWindow(now, account) ? AdmissionReason::Admitted : AdmissionReason::LimitReached;
}

bool AccountRateLimiter::admitInWindow(core::MonoTime now, const Account &account)
{
    if (account.ratePerSecond <= 0)
        return true;
    Window &window = prunedWindow(now, account.id);
    if (restartedAt_ && now - *restartedAt_ < options_.window)
        ++window.requestsSinceRestart;
    recordLimit(now, account, window);
    if (!mayAdmit(now, account, window))
        return false;
    window.own.push_back(now);
    ++unreported_[account.id];
    return true;
}

/** @return Whether an account's window has room for one more request. */
bool AccountRateLimiter::mayAdmit(core::MonoTime now, const Account &account,
                                  const Window &window) const
{
    const auto size = [](const std::deque<core::MonoTime> &times) { return times.size(); };
    const bool isLowered = window.loweredAt && now - *window.loweredAt < options_.window;
    if (!isLowered)
        return hasRoom(now, account, size(window.own), size(window.others));
    const auto sinceLowered = [&](const std::deque<core::MonoTime> &times) {
        const auto first = std::lower_bound(times.begin(), times.end(), *window.loweredAt);
        return static_cast<std::size_t>(times.end() - first);
    };
    return hasRoom(now, account, sinceLowered(window.own), sinceLowered(window.others))
        && hasRoom(now, window.formerLimit, size(window.own), size(window.others));
}

/** Notices a change of an account's limit. A lower one has to hold one window later; until then the
 * requests that were admitted under the former limit count against that one only. Otherwise an
 * account would be refused everything until they leave the window. */
void AccountRateLimiter::recordLimit(core::MonoTime now, const Account &account,
                                     Window &window) const
{
    const double seconds = std::chrono::duration<double>(options_.window).count();
    const auto perWindow = [&](const Account &limited) {
        return limited.ratePerSecond * seconds + limited.burst;
    };
    const Account limit {
        .id = account.id, .ratePerSecond = account.ratePerSecond, .burst = account.burst};
    if (window.limit && perWindow(*window.limit) != perWindow(limit)) {
        window.loweredAt.reset();
        if (perWindow(limit) < perWindow(*window.limit)) {
            window.loweredAt = now;
            window.formerLimit = *window.limit;
        }
    }
    window.limit = limit;
}

/** @param own Counted requests of this VM. @param others Those of the pool's other VMs.
 * @return Whether a limit admits one more request. */
bool AccountRateLimiter::hasRoom(core::MonoTime now, const Account &limit, std::size_t own,
                                 std::size_t others) const
{
    const std::size_t count = own + (isPooled() ? others : 0);
    const std::size_t most = maxRequests(now, limit, effectiveShare());
    if (count >= most)
        return false;
    // Near the limit, usage reports from the pool arrive too late; the own share needs none.
    const double ownShareOnlyFrom = static_cast<double>(most)
        - options_.ownShareOnlySeconds * limit.ratePerSecond * effectiveShare();
    return !isPooled() || static_cast<double>(count) < ownShareOnlyFrom
        || own < maxRequests(now, limit, ownShare_);
}

core::Micros AccountRateLimiter::timeUntilAdmission(core::MonoTime now, const Account &account)
{
    if (paced_)
        return paced_->timeUntilAdmission(now, account);
    return timeUntilRoom(now, account, prunedWindow(now, account.id));
}

AccountRoom AccountRateLimiter::roomOf(core::MonoTime now, const Account &account) const
{
    AccountRoom room {.isLimited = account.ratePerSecond > 0, .isPaced = paced_.has_value()};
    if (!room.isLimited || room.isPaced)
        return room;
    const auto found = windows_.find(account.id);
    Window window = found == windows_.end() ? Window {} : found->second;
    prune(now, window);
    room.counted = countedRequests(window);
    room.allowed = maxRequests(now, account, effectiveShare());
    recordLimit(now, account, window);
    if (!mayAdmit(now, account, window))
        room.retryAfter = timeUntilRoom(now, account, window);
    return room;
}

/** @return Time until an account's window has room for one more request. */
core::Micros AccountRateLimiter::timeUntilRoom(core::MonoTime now, const Account &account,
                                               const Window &window) const
{
    const std::size_t limit = maxRequests(now, account, effectiveShare());
    const std::size_t count = countedRequests(window);
    if (count < limit)
        return window.own.size() < maxRequests(now, account, ownShare_)
            ? core::Micros(0)
            : std::max(core::Micros(0), window.own.front() + options_.window - now);
    std::vector<core::MonoTime> times(window.own.begin(), window.own.end());
    if (isPooled())
        times.insert(times.end(), window.others.begin(), window.others.end());
    std::sort(times.begin(), times.end());
    // The next request is admitted once all but limit - 1 counted requests have left the window.
    return times[count - limit] + options_.window - now;
}

void AccountRateLimiter::refund(const Account &account)
{
    if (paced_) {
        paced_->refund(account.id);
        return;
    }
    const auto found = windows_.find(account.id);
    if (found == windows_.end() || found->second.own.empty())
        return;
    found->second.own.pop_back();
    --unreported_[account.id];
}

void AccountRateLimiter::usageReported(core::MonoTime now, const AccountUsage &usage)
{
    Window &window = prunedWindow(now, usage.account);
    for (int i = 0; i < usage.requests; ++i)
        window.others.push_back(now);
}

std::vector<AccountUsage> AccountRateLimiter::takeUsage()
{
    std::vector<AccountUsage> usage;
    for (const auto &[account, requests] : unreported_) {
        if (requests > 0)
            usage.push_back({.account = account, .requests = requests});
    }
    unreported_.clear();
    return usage;
}

} // namespace teaselreach::proxy
