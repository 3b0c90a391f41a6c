/** @file account_share.cpp This VM's part of each client account's limit. */
#include "proxy/account_share_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

AccountShare::AccountShare(AccountShareOptions options)
    : options_(options)
{ }

void AccountShare::setPart(double part)
{
    part_ = std::clamp(part, 0.0, 1.0);
}

AccountShare::Window &AccountShare::windowOf(core::MonoTime now,
                                             const core::ClientAccountId &account)
{
    Window &window = windows_[account];
    while (!window.empty() && now - window.front() > options_.window)
        window.pop_front();
    return window;
}

std::size_t AccountShare::limitOf(core::MonoTime now, const Account &account) const
{
    const double seconds = std::chrono::duration<double>(options_.window).count();
    const double plain = account.ratePerSecond * seconds + account.burst;
    const double allowed = plain * (1 + options_.overrunRatio) + options_.overrunRequests;
    double limit =
        std::max(plain, allowed - options_.keptBackSeconds * account.ratePerSecond) * part_;
    if (restartedAt_) {
        const double age = std::chrono::duration<double>(now - *restartedAt_).count();
        limit *= std::min(
            1.0, options_.partAfterRestart + (1 - options_.partAfterRestart) * age / seconds);
    }
    // Even the smallest part lets a single request in.
    return static_cast<std::size_t>(std::max(1.0, std::floor(limit)));
}

bool AccountShare::admit(core::MonoTime now, const Account &account)
{
    if (account.ratePerSecond <= 0)
        return true;
    Window &window = windowOf(now, account.id);
    if (window.size() >= limitOf(now, account))
        return false;
    window.push_back(now);
    ++unreported_[account.id];
    return true;
}

core::Micros AccountShare::timeToRoom(core::MonoTime now, const Account &account)
{
    const Window &window = windowOf(now, account.id);
    const std::size_t limit = limitOf(now, account);
    if (window.size() < limit)
        return core::Micros(0);
    // Room comes when all but limit - 1 of the counted requests have left the window.
    return window[window.size() - limit] + options_.window - now;
}

void AccountShare::giveBack(const Account &account)
{
    const auto found = windows_.find(account.id);
    if (found == windows_.end() || found->second.empty())
        return;
    found->second.pop_back();
    --unreported_[account.id];
}

void AccountShare::reported(core::MonoTime now, const AccountUsage &usage)
{
    Window &window = windowOf(now, usage.account);
    for (int i = 0; i < usage.requests; ++i)
        window.push_back(now);
}

std::vector<AccountUsage> AccountShare::takeUsage()
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
