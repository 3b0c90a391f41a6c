/** @file ledger.cpp Records requests, runs and responses, and finds violations. */
#include "ledger_base.h"

#include <algorithm>
#include <utility>

namespace teaselreach::soak {

namespace {

/** Statuses that guarantee that a request has not run and will not run later. */
const std::set<int> notExecutedStatuses {408, 421, 429, 503};

} // namespace

void Ledger::broken(const std::string &rule, const std::string &detail)
{
    violations_.push_back({.rule = rule, .detail = detail});
}

void Ledger::sent(const std::string &id, const std::string &key, bool idempotent)
{
    requests_[id] = {.key = key, .idempotent = idempotent};
}

void Ledger::ran(core::MonoTime now, const std::string &id, const std::string &account,
                 bool keyWasPassedOn)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        broken("unasked", "request " + id + " was never sent");
        return;
    }
    Entry &entry = found->second;
    ++entry.runs;
    if (entry.runs > 1 && !entry.idempotent)
        broken("at most once", id + " ran " + std::to_string(entry.runs) + " times");
    if (entry.refusedAsNotRun && !entry.idempotent)
        broken("not run", id + " ran after it was refused");
    if (keyWasPassedOn)
        broken("key", id + " reached an upstream with its key");
    const auto owner = accounts_.find(account);
    if (owner == accounts_.end() || owner->second.key != entry.key) {
        broken("account", id + " ran for account \"" + account + "\"");
        return;
    }
    std::deque<core::MonoTime> &window = recentRuns_[account];
    window.push_back(now);
    while (now - window.front() > limitWindow)
        window.pop_front();
    const double nominal = owner->second.ratePerSecond * static_cast<double>(limitWindow.count())
        + owner->second.burst;
    const double allowed = nominal * (1 + overrunRatio) + overrunRequests;
    if (static_cast<double>(window.size()) > allowed)
        broken("limit", account + " ran " + std::to_string(window.size()) + " requests in 5 s");
}

void Ledger::arrivedCold(core::MonoTime now, const std::string &upstream)
{
    std::deque<core::MonoTime> &window = coldArrivals_[upstream];
    window.push_back(now);
    while (now - window.front() >= coldWindow)
        window.pop_front();
    if (static_cast<double>(window.size()) <= coldAllowed)
        return;
    broken("cold",
           upstream + " got " + std::to_string(window.size()) + " requests in 1 s while cold");
    window.clear(); // Each excess is one violation, not each request of it.
}

void Ledger::ranIn(const std::string &id, const std::string &account, const SoakZone &zone)
{
    const auto request = requests_.find(id);
    if (request == requests_.end())
        return; // Reported as unasked.
    const RequestOrigin &origin = request->second.origin;
    const auto allows = [&](const HomeRegions &homes, const std::string &name) {
        const auto home = homes.find(name);
        return home == homes.end() || home->second == zone.region;
    };
    for (std::size_t version = origin.oldestVersion; version < homes_.size(); ++version) {
        if (allows(homes_[version], origin.route) && allows(homes_[version], account))
            return;
    }
    broken("region",
           id + " of route " + origin.route + " and account " + account + " ran in " + zone.name
               + ", allowed by no version from " + std::to_string(origin.oldestVersion + 1) + " to "
               + std::to_string(homes_.size()));
}

void Ledger::evacuated(core::MonoTime now, const std::string &zone)
{
    evacuatedSince_[zone] = now;
    failbacks_.erase(zone);
}

void Ledger::evacuationEnded(core::MonoTime now, const std::string &zone)
{
    evacuatedSince_.erase(zone);
    failbacks_[zone] = {.endedAt = now};
}

void Ledger::arrivedIn(core::MonoTime now, const std::string &id, const std::string &zone,
                       core::MonoTime heldUntil)
{
    failbacks_.erase(zone);
    const auto evacuation = evacuatedSince_.find(zone);
    if (evacuation == evacuatedSince_.end())
        return;
    const auto request = requests_.find(id);
    if (request == requests_.end())
        return; // Reported as unasked if it runs.
    const int daemon = request->second.origin.daemon;
    const core::MonoTime knownFrom =
        std::max({evacuation->second, daemonFaults_[daemon], heldUntil});
    if (now - knownFrom > evacuationBound)
        broken("evacuation",
               id + " of daemon " + std::to_string(daemon) + " reached evacuated " + zone);
}

void Ledger::demanded(core::MonoTime now, const std::string &zone)
{
    const auto found = failbacks_.find(zone);
    if (found == failbacks_.end())
        return;
    Failback &failback = found->second;
    const core::Micros gap = now - std::exchange(failback.lastDemandAt, now);
    if (gap <= longestDemandGap)
        failback.demand += gap;
    if (failback.demand < failbackDemand || now - failback.endedAt <= failbackBound)
        return;
    broken("failback", zone + " has got no requests since its evacuation ended");
    failbacks_.erase(found); // Each evacuation is one violation, not each request after it.
}

void Ledger::answered(const std::string &id, int status, const std::string &body, bool sealed)
{
    Entry &entry = requests_[id];
    ++outcomes_[std::to_string(status)];
    const bool success = status >= 200 && status < 300;
    if (success && (!sealed || body != expectedBody(id)))
        broken("own answer", id + " got \"" + body.substr(0, 60) + "\"");
    if (!notExecutedStatuses.contains(status))
        return;
    entry.refusedAsNotRun = true;
    if (entry.runs > 0 && !entry.idempotent)
        broken("not run", id + " was refused with " + std::to_string(status) + " and had run");
}

void Ledger::closedByShutdown(const std::string &id)
{
    if (requests_[id].runs > 0)
        broken("graceful stop", id + " ran and was cut by a daemon that was asked to stop");
}

void Ledger::runFinalChecks()
{
    if (requests_.empty() || outcomes_["200"] == 0)
        broken("service", "no request was served");
}

} // namespace teaselreach::soak
