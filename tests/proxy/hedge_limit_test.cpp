/** @file hedge_limit_test.cpp Property test of the limit of hedges over all VMs. */
#include "placement/hedge_policy_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr core::MonoTime start {core::Seconds(1000)};
constexpr core::Millis step {40}; // No multiple of the slices of RetryBudget.
constexpr int windowSteps = core::Seconds(10) / step;
const core::ServiceId desk("desk");

/** The limit of the HedgePolicy. */
class PolicyLimit
{
public:
    explicit PolicyLimit(double ratio)
        : policy_({.limitRatio = ratio})
    { }
    void requestArrived(core::MonoTime now) { policy_.requestArrived(now, desk); }
    bool take(core::MonoTime now)
    {
        if (policy_.denial(now, desk))
            return false;
        policy_.hedgeSent(now, desk);
        return true;
    }

private:
    HedgePolicy policy_;
};

/** Baseline: the ratio of the VM's own requests in the window that ends with the hedge, saved up to
 * a tenth of it. */
class OwnWindowLimit
{
public:
    explicit OwnWindowLimit(double ratio)
        : ratio_(ratio)
    { }
    void requestArrived(core::MonoTime now)
    {
        requests_.push_back(now);
        std::erase_if(requests_, [&](auto time) { return time <= now - windowSteps * step; });
        tokens_ = std::min(tokens_ + ratio_,
                           std::max(1.0, 0.1 * ratio_ * static_cast<double>(requests_.size())));
    }
    bool take(core::MonoTime now)
    {
        std::erase_if(requests_, [&](auto time) { return time <= now - windowSteps * step; });
        std::erase_if(hedges_, [&](auto time) { return time < now - windowSteps * step; });
        const double allowed = ratio_ * static_cast<double>(requests_.size());
        if (tokens_ < 1 || static_cast<double>(hedges_.size()) + 1 > allowed)
            return false;
        tokens_ -= 1;
        hedges_.push_back(now);
        return true;
    }

private:
    double ratio_;
    double tokens_ = 0;
    std::vector<core::MonoTime> requests_;
    std::vector<core::MonoTime> hedges_;
};

/** Events by step, with their running total. Each event has the time of its step, so the windows
 * that end with a step are all windows. */
class History
{
public:
    /** Starts a step. */
    void addStep() { totals_.push_back(totals_.back()); }
    void add() { ++totals_.back(); }
    /** @return Events so far in the window that ends with a step, which may be in the future. */
    int inWindow(int last) const { return upTo(last) - upTo(last - windowSteps); }

private:
    int upTo(int last) const
    {
        const int known = static_cast<int>(totals_.size()) - 1;
        return totals_[static_cast<std::size_t>(std::clamp(last + 1, 0, known))];
    }
    std::vector<int> totals_ {0};
};

/** The largest number of hedges in a window relative to the rule, and all hedges. */
struct FleetResult
{
    double worst = 0;
    int hedges = 0;
};

/** 12 VMs send all hedges that they may while responses are slow. Callers move between them, VMs
 * restart, and the requests jump or stop. */
template <typename Limit>
FleetResult runFleet(double ratio, std::uint64_t seed)
{
    constexpr int vms = 12;
    std::mt19937_64 random(seed);
    const auto below = [&](int bound) { return static_cast<int>(random() % bound); };
    std::vector<Limit> limits(vms, Limit(ratio));
    std::vector<int> weights(vms, 1);
    History requests;
    History hedges;
    FleetResult result;
    int rate = 40;
    bool slow = false;
    for (int now = 0; now < 1250; ++now) {
        // The VMs have clocks of their own.
        const auto timeAt = [&](int vm) { return start + now * step + vm * core::Millis(7); };
        requests.addStep();
        hedges.addStep();
        if (below(80) == 0)
            rate = below(3) == 0 ? 0 : below(100);
        if (below(40) == 0)
            slow = !slow;
        if (below(60) == 0) {
            for (int &weight : weights)
                weight = below(3) == 0 ? 1 + below(8) : 0;
            weights[below(vms)] = 20;
        }
        if (below(60) == 0)
            limits[below(vms)] = Limit(ratio);
        std::discrete_distribution<int> caller(weights.begin(), weights.end());
        for (int i = 0; i < rate; ++i) {
            const int vm = caller(random);
            limits[vm].requestArrived(timeAt(vm));
            requests.add();
        }
        for (int vm = 0; vm < vms; ++vm) {
            while (slow && limits[vm].take(timeAt(vm))) {
                hedges.add();
                ++result.hedges;
                // As if the requests stopped now: later ones can only raise what is allowed.
                for (int last = now; last < now + windowSteps; ++last) {
                    const int most = std::max({requests.inWindow(last),
                                               requests.inWindow(last - windowSteps / 2),
                                               requests.inWindow(last - windowSteps)});
                    result.worst = std::max(result.worst, hedges.inWindow(last) / (ratio * most));
                }
            }
        }
    }
    return result;
}

/** @return The worst window and all hedges of 100 seeds. */
template <typename Limit>
FleetResult runSeeds(double ratio)
{
    FleetResult all;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const FleetResult result = runFleet<Limit>(ratio, seed);
        all.worst = std::max(all.worst, result.worst);
        all.hedges += result.hedges;
    }
    MESSAGE("limit ", ratio, ": worst window at ", all.worst, " of the rule, ", all.hedges,
            " hedges");
    return all;
}

} // namespace

TEST_CASE("the hedges of all VMs exceed the limit in a window that contains a hedge")
{
    // Guards against a limit that counts callers at two VMs after they moved, that checks only the
    // window that ends with the hedge, or that a restart renews.
    for (const double ratio : {0.01, 0.05, 0.2}) {
        const FleetResult result = runSeeds<PolicyLimit>(ratio);
        CHECK(result.worst <= 1);
        CHECK(result.worst > 0.5); // Otherwise the load does not use the limit up.
        CHECK(result.hedges > 1000);
    }
}

TEST_CASE("the property test cannot see that a limit by the VM's own window exceeds the rule")
{
    for (const double ratio : {0.01, 0.05, 0.2})
        CHECK(runSeeds<OwnWindowLimit>(ratio).worst > 1);
}
