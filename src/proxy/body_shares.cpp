/** @file body_shares.cpp Divides the memory for message bodies among client accounts. */
#include "proxy/body_shares_base.h"

#include <algorithm>

namespace teaselreach::proxy {

bool BodyShares::mayTake(core::MonoTime now, const core::ClientAccountId &account, std::size_t more,
                         std::size_t bodyBytes, std::size_t total)
{
    const std::size_t after = heldBy(account) + more;
    // One body beside short ones always fits its account's share, however many accounts compete.
    if (after <= options_.freeBytes + bodyBytes)
        return true;
    return after <= total / competitors(now, account);
}

void BodyShares::taken(const core::ClientAccountId &account, std::size_t bytes)
{
    uses_[account].held += bytes;
}

void BodyShares::givenBack(const core::ClientAccountId &account, std::size_t bytes)
{
    const auto found = uses_.find(account);
    if (found == uses_.end())
        return;
    found->second.held -= std::min(bytes, found->second.held);
    if (found->second.held == 0 && found->second.demandUntil == core::MonoTime {})
        uses_.erase(found);
}

void BodyShares::refused(core::MonoTime now, const core::ClientAccountId &account)
{
    uses_[account].demandUntil = now + options_.demandTime;
}

std::size_t BodyShares::heldBy(const core::ClientAccountId &account) const
{
    const auto found = uses_.find(account);
    return found == uses_.end() ? 0 : found->second.held;
}

std::vector<std::pair<core::ClientAccountId, std::size_t>>
BodyShares::largest(std::size_t count) const
{
    std::vector<std::pair<core::ClientAccountId, std::size_t>> all;
    for (const auto &[account, use] : uses_) {
        if (use.held > 0)
            all.emplace_back(account, use.held);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto &a, const auto &b) { return a.second > b.second; });
    all.resize(std::min(count, all.size()));
    return all;
}

/** @return Number of accounts that share the memory, an account that requests some included.
 * Forgets those that neither hold nor request any. */
std::size_t BodyShares::competitors(core::MonoTime now, const core::ClientAccountId &account)
{
    std::erase_if(uses_, [&](const auto &entry) {
        return entry.second.held == 0 && entry.second.demandUntil <= now;
    });
    const auto others = std::count_if(uses_.begin(), uses_.end(), [&](const auto &entry) {
        return entry.first != account
            && (entry.second.held > options_.freeBytes || entry.second.demandUntil > now);
    });
    return 1 + static_cast<std::size_t>(others);
}

} // namespace teaselreach::proxy
