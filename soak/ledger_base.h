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

/** Records events and checks each one when it is recorded. Not thread-safe. */
class Ledger
{
public:
    /** A caller is about to send a request. */
    void sent(const std::string &id, const std::string &key, bool idempotent);
    /** An upstream starts to run a request. @param keyWasPassedOn Whether it got an API key. */
    void ran(core::MonoTime now, const std::string &id, const std::string &account,
             bool keyWasPassedOn);
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
    };

    std::map<std::string, Entry> requests_;
    std::map<std::string, SoakAccount> accounts_;
    std::map<std::string, std::deque<core::MonoTime>> recentRuns_;
    std::map<std::string, std::deque<core::MonoTime>> coldArrivals_; ///< By upstream.
    std::map<std::string, int> outcomes_;
    std::vector<Violation> violations_;
};

} // namespace teaselreach::soak
