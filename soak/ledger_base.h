/** @file ledger_base.h What callers, upstreams and operators of the soak saw, and what it breaks.
 */
#pragma once

#include "core/clock_type.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselreach::soak {

/** A promise that was broken. */
struct Violation
{
    std::string rule;
    std::string detail;
};

/** One account as the operators configured it. */
struct SoakAccount
{
    std::string name;
    std::string key;
    double ratePerSecond = 0;
    double burst = 0;
};

/** The allowance beyond rate and burst, as the settings state it. */
inline constexpr double overrunRatio = 0.1;
inline constexpr double overrunRequests = 20;
inline constexpr core::Seconds limitWindow {5};

/** Records events and checks each as it comes. For one thread. */
class Ledger
{
public:
    /** A caller is about to send a request. */
    void sent(const std::string &id, const std::string &key, bool idempotent);
    /** An upstream begins to run a request. */
    void ran(core::MonoTime now, const std::string &id, const std::string &account,
             bool keyWasPassedOn);
    /** A caller has an answer. @param sealed Whether it carries an upstream's proof. */
    void answered(const std::string &id, int status, const std::string &body, bool sealed);
    /** A daemon that was asked to stop closed a request that an upstream ran. */
    void closedByShutdown(const std::string &id);
    /** Operators give an account. */
    void configured(const SoakAccount &account) { accounts_[account.name] = account; }
    /** Records a broken promise that another part noticed. */
    void broken(const std::string &rule, const std::string &detail);
    /** Checks what can only be known at the end. */
    void runFinalChecks();

    /** @return The body that the run of a request gives. */
    static std::string expectedBody(const std::string &id) { return "ran " + id; }
    /** @return All broken promises. */
    const std::vector<Violation> &violations() const { return violations_; }
    /** @return Requests by outcome. */
    const std::map<std::string, int> &outcomes() const { return outcomes_; }

private:
    /** One request. */
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
    std::map<std::string, int> outcomes_;
    std::vector<Violation> violations_;
};

} // namespace teaselreach::soak
