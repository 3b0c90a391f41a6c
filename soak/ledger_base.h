/** @file ledger_base.h Records requests, runs and responses, and finds violations. */
#pragma once

#include "core/clock_type.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::soak {

/** A guarantee of the fleet that a run violated. */
struct Violation
{
    std::string rule;
    std::string detail;
};

/** A client account as configured by the operators. */
struct SoakAccount
{
    std::string name;
    std::string key;
    double ratePerSecond = 0;
    double burst = 0;
};

/**
 * How far an account may exceed its rate and burst within limitWindow. The values match
 * quotaOverrun, quotaSlack and quotaWindow in the settings of the daemons.
 */
inline constexpr double overrunRatio = 0.1;
inline constexpr double overrunRequests = 20;
inline constexpr core::Seconds limitWindow {5};

/** The cold-start limit of the service, in requests per second, and the requests at a cold upstream
 * that the users allow in coldWindow. */
inline constexpr double coldPerSecond = 1;
inline constexpr double coldAllowed = 1.5 * coldPerSecond + 8;
inline constexpr core::Seconds coldWindow {1};

/** An availability zone and its region. */
struct SoakZone
{
    std::string name;
    std::string region;
};

/** Regions in which requests may run, by route or account; any region without an entry. */
using HomeRegions = std::map<std::string, std::string>;

/** How a request enters the fleet. */
struct RequestOrigin
{
    int daemon = 0;                ///< Number of the daemon to which the caller sends it.
    std::string route;             ///< Name in HomeRegions.
    std::size_t oldestVersion = 0; ///< Oldest configuration that the daemon may still apply.
};

/** Time after which no request reaches an evacuated zone. */
inline constexpr core::Seconds evacuationBound {5};
/** Time after the end of an evacuation within which the zone receives requests. */
inline constexpr core::Seconds failbackBound {15};
/** Time of demand within the bound that suffices for it; the steps of the return take 3 s. */
inline constexpr core::Seconds failbackDemand {5};
/** Longest pause between two requests that counts as demand. */
inline constexpr core::Seconds longestDemandGap {1};

/** Records events and checks each one when it is recorded. Not thread-safe. */
class Ledger
{
public:
    /** A caller is about to send a request. */
    void sent(const std::string &id, const std::string &key, bool idempotent);
    /** An upstream starts to run a request. @param keyWasPassedOn Whether it got an API key. */
    void ran(core::MonoTime now, const std::string &id, const std::string &account,
             bool keyWasPassedOn);
    /** The operators write a version of the configuration; versions are numbered from 0. */
    void configuredHomes(HomeRegions homes) { homes_.push_back(std::move(homes)); }
    /** Adds how a request that was sent enters the fleet. */
    void sentTo(const std::string &id, const RequestOrigin &origin)
    {
        requests_[id].origin = origin;
    }
    /** A request runs in a zone. It may have met any version since the oldest of its origin. */
    void ranIn(const std::string &id, const std::string &account, const SoakZone &zone);
    /** The store has accepted the evacuation of a zone. */
    void evacuated(core::MonoTime now, const std::string &zone);
    /** The key of an evacuated zone is removed. */
    void evacuationEnded(core::MonoTime now, const std::string &zone);
    /** A daemon or its contact to the store has a fault, or a fault ends. */
    void daemonFault(core::MonoTime now, int daemon) { daemonFaults_[daemon] = now; }
    /** A request reaches an upstream. @param heldUntil When the last cut of the upstream's path
     * ended; the requests that it held arrive then. */
    void arrivedIn(core::MonoTime now, const std::string &id, const std::string &zone,
                   core::MonoTime heldUntil);
    /** A caller in a zone with an upstream that accepts requests sends one that may run anywhere,
     * to a daemon of the zone that is in contact with the store. */
    void demanded(core::MonoTime now, const std::string &zone);
    /** A request that is not refused as misdirected arrived at a cold upstream. */
    void arrivedCold(core::MonoTime now, const std::string &upstream);
    /** A caller received a response. @param sealed Whether it carries an upstream's seal. */
    void answered(const std::string &id, int status, const std::string &body, bool sealed);
    /** A daemon closed the connection after SIGTERM; a violation if the request ran. */
    void closedByShutdown(const std::string &id);
    /** The operators configured an account. */
    void configured(const SoakAccount &account) { accounts_[account.name] = account; }
    /** Records a violation. */
    void broken(const std::string &rule, const std::string &detail);
    /** Runs the checks that need the complete run. */
    void runFinalChecks();

    /** @return The response body of an upstream that ran the request. */
    static std::string expectedBody(const std::string &id) { return "ran " + id; }
    /** @return All violations, in the order in which they were found. */
    const std::vector<Violation> &violations() const { return violations_; }
    /** @return Number of responses by status code. */
    const std::map<std::string, int> &outcomes() const { return outcomes_; }

private:
    /** What is known of one request. */
    struct Entry
    {
        std::string key;
        bool idempotent = false;
        int runs = 0;
        bool refusedAsNotRun = false;
        RequestOrigin origin;
    };
    /** Demand in a zone since its evacuation ended, until the first request. */
    struct Failback
    {
        core::MonoTime endedAt {};
        core::MonoTime lastDemandAt {};
        core::Micros demand {0};
    };

    std::map<std::string, Entry> requests_;
    std::map<std::string, SoakAccount> accounts_;
    std::map<std::string, std::deque<core::MonoTime>> recentRuns_;
    std::map<std::string, std::deque<core::MonoTime>> coldArrivals_; ///< By upstream.
    std::vector<HomeRegions> homes_;                                 ///< By version.
    std::map<std::string, core::MonoTime> evacuatedSince_;           ///< By zone.
    std::map<std::string, Failback> failbacks_;                      ///< By zone.
    std::map<int, core::MonoTime> daemonFaults_; ///< The last one of each daemon.
    std::map<std::string, int> outcomes_;
    std::vector<Violation> violations_;
};

} // namespace teaselreach::soak
