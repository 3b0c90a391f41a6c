/**
 * @file fairness_bench.cpp Latency of seven client accounts while an eighth exceeds its rate.
 *
 * Runs in virtual time with fixed seeds: one service of 20 upstreams with 2 slots each, and eight
 * accounts that share 75% of the capacity equally. One of them sends 5 times its rate. Compares a
 * first-in-first-out queue (baseline), the fair queue without limits, and the fair queue behind
 * token buckets. Exits with 1 if, with limits, one of the seven has a refusal or a 99th percentile
 * over 1.2 times its value without the noisy account.
 */
#include "queue/fair_queue_base.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace teaselreach;

namespace {

constexpr int accountCount = 8;
constexpr int noisyAccount = 0;
constexpr int slots = 40;
constexpr double meanServiceSeconds = 0.025;
constexpr double accountRate = 0.75 * slots / meanServiceSeconds / accountCount; // requests/s
constexpr double noisyRateFactor = 5;
constexpr double runSeconds = 120;
constexpr core::Millis requestTimeout {2000};
constexpr double maxLatencyRatio = 1.2;

enum class Discipline { Fifo, Fair, FairWithLimits };

struct Arrival
{
    double at; ///< Seconds.
    int account;
    double service; ///< Seconds.
};

struct AccountResult
{
    std::vector<double> latencies; ///< Seconds.
    int refused = 0;

    /** Sorts the latencies. @return Their 99th percentile in seconds, 0 if there are none. */
    double percentile99()
    {
        if (latencies.empty())
            return 0;
        std::sort(latencies.begin(), latencies.end());
        return latencies[latencies.size() * 99 / 100];
    }
};

using Results = std::array<AccountResult, accountCount>;

core::MonoTime toTime(double seconds)
{
    return core::MonoTime(core::Micros(static_cast<std::int64_t>(seconds * 1e6)));
}

/**
 * @param withNoisyAccount Whether noisyAccount exceeds its rate; the arrivals of the other accounts
 *     don't depend on it.
 */
std::vector<Arrival> makeArrivals(bool withNoisyAccount)
{
    std::vector<Arrival> arrivals;
    for (int account = 0; account < accountCount; ++account) {
        std::mt19937_64 random(static_cast<unsigned>(100 + account));
        const bool noisy = withNoisyAccount && account == noisyAccount;
        std::exponential_distribution<double> gap(0.95 * accountRate
                                                  * (noisy ? noisyRateFactor / 0.95 : 1));
        std::exponential_distribution<double> service(1 / meanServiceSeconds);
        for (double at = gap(random); at < runSeconds; at += gap(random))
            arrivals.push_back({.at = at, .account = account, .service = service(random)});
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

/** A central token bucket for each account. The burst is one second at the full rate. */
class TokenBuckets
{
public:
    bool tryTake(const Arrival &arrival)
    {
        double &level = levels_[arrival.account];
        double &updated = updated_[arrival.account];
        level = std::min(accountRate, level + (arrival.at - updated) * accountRate);
        updated = arrival.at;
        if (level < 1)
            return false;
        level -= 1;
        return true;
    }

private:
    std::array<double, accountCount> levels_ = filledLevels();
    std::array<double, accountCount> updated_ {};

    static std::array<double, accountCount> filledLevels()
    {
        std::array<double, accountCount> levels {};
        levels.fill(accountRate);
        return levels;
    }
};

/** Simulates the queue and the slots for given arrivals. */
class Simulation
{
public:
    Simulation(Discipline discipline, std::vector<Arrival> arrivals)
        : discipline_(discipline)
        , arrivals_(std::move(arrivals))
    { }

    Results run()
    {
        for (std::size_t i = 0; i < arrivals_.size(); ++i) {
            completeUntil(arrivals_[i].at);
            onArrival(i);
        }
        completeUntil(runSeconds + 3600);
        return std::move(results_);
    }

private:
    void onArrival(std::size_t index)
    {
        const Arrival &arrival = arrivals_[index];
        AccountResult &result = results_[static_cast<std::size_t>(arrival.account)];
        if (discipline_ == Discipline::FairWithLimits && !tokenBuckets_.tryTake(arrival)) {
            ++result.refused;
            return;
        }
        // With one account and class for all requests, the fair queue is first in, first out.
        const int flow = discipline_ == Discipline::Fifo ? 0 : arrival.account;
        const auto queued = queue_.enqueue({.ticket = queue::Ticket(index),
                                            .account = core::ClientAccountId(std::to_string(flow)),
                                            .deadline = toTime(arrival.at) + requestTimeout},
                                           toTime(arrival.at));
        if (queued != queue::EnqueueResult::Queued)
            ++result.refused;
        dispatch(arrival.at);
    }

    void completeUntil(double until)
    {
        while (!completionTimes_.empty() && completionTimes_.top() <= until) {
            const double now = completionTimes_.top();
            completionTimes_.pop();
            --busy_;
            dispatch(now);
        }
    }

    void dispatch(double now)
    {
        for (const queue::Ticket ticket : queue_.takeExpired(toTime(now)))
            ++results_[static_cast<std::size_t>(arrivals_[ticket.count()].account)].refused;
        while (busy_ < slots) {
            const auto ticket = queue_.dequeue();
            if (!ticket)
                return;
            const Arrival &arrival = arrivals_[ticket->count()];
            const double completion = now + arrival.service;
            completionTimes_.push(completion);
            ++busy_;
            results_[static_cast<std::size_t>(arrival.account)].latencies.push_back(completion
                                                                                    - arrival.at);
        }
    }

    Discipline discipline_;
    std::vector<Arrival> arrivals_;
    TokenBuckets tokenBuckets_;
    queue::FairQueue queue_ {{.maxQueued = 4000, .maxQueuedPerAccount = 4000}};
    std::priority_queue<double, std::vector<double>, std::greater<>> completionTimes_;
    int busy_ = 0;
    Results results_;
};

/** Worst ratio and percentile, and all refusals, of the accounts other than the noisy one. */
struct NeighborSummary
{
    double worstRatio = 0;
    double worstPercentile = 0; ///< Seconds.
    int refused = 0;
};

/** Compares the seven accounts within their rate with and without the noisy account. */
NeighborSummary measure(Discipline discipline)
{
    Results calm = Simulation(discipline, makeArrivals(false)).run();
    Results withNoise = Simulation(discipline, makeArrivals(true)).run();
    NeighborSummary summary;
    for (std::size_t account = 0; account < accountCount; ++account) {
        if (account == noisyAccount)
            continue;
        const double percentile = withNoise[account].percentile99();
        summary.worstRatio =
            std::max(summary.worstRatio, percentile / calm[account].percentile99());
        summary.worstPercentile = std::max(summary.worstPercentile, percentile);
        summary.refused += withNoise[account].refused;
    }
    return summary;
}

} // namespace

int main()
{
    const std::vector<std::pair<const char *, Discipline>> disciplines = {
        {"first in, first out", Discipline::Fifo},
        {"fair queue", Discipline::Fair},
        {"fair queue and limits", Discipline::FairWithLimits}};
    std::printf("%-24s %16s %14s %8s\n", "discipline", "worst p99 (ms)", "ratio to calm",
                "refused");
    NeighborSummary last;
    for (const auto &[name, discipline] : disciplines) {
        last = measure(discipline);
        std::printf("%-24s %16.1f %14.2f %8d\n", name, last.worstPercentile * 1000, last.worstRatio,
                    last.refused);
    }
    const bool met = last.worstRatio <= maxLatencyRatio && last.refused == 0;
    std::printf("bound: ratio <= %.1f and 0 refused with limits: %s\n", maxLatencyRatio,
                met ? "met" : "MISSED");
    return met ? 0 : 1;
}
