/** @file emulator_type.h Loads that the emulator of dispatchers plays, and their outcome. */
#pragma once

#include "placement/placement_type.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselreach::standins {

/** One kind of request of an emulated load. */
struct EmulatedKind
{
    proxy::Route route;
    double perSecond = 0; ///< Over all zones.
    core::Micros meanWork {0};
    double worth = 1;     ///< Of an answer within the route's target latency.
    double lateWorth = 0; ///< Of a later one.
};

/** What is wrong for a while. */
enum class EmulatedTrouble : std::uint8_t {
    Burst,   ///< More requests by a factor.
    Shift,   ///< The callers of all zones use the first zone, by the given share.
    Slow,    ///< A share of the upstreams works slower by a factor.
    Errors,  ///< A share of the upstreams fails requests with the factor as probability.
    Mute,    ///< A share of the upstreams answers nothing.
    Shed,    ///< A share of the upstreams refuses requests with the factor as probability.
    Gone,    ///< A share of the upstreams is lost, and listed until the end.
    Restart, ///< All VMs lose what they know, at the start.
    Repeats, ///< A share of the callers sends a refused request again at once, up to factor times.
};

/** One trouble of a load. */
struct EmulatedDisturbance
{
    EmulatedTrouble trouble = EmulatedTrouble::Burst;
    core::Micros at {0};
    core::Micros length {0};
    double share = 1;
    double factor = 1;
};

/** Periods in which each upstream by itself fails most of its requests, with different phases. */
struct EmulatedFailingPeriods
{
    double failureRate = 0; ///< Probability that a request fails in a period; 0: no periods.
    core::Micros meanSound {core::Seconds(7)}; ///< Mean time between two periods.
    core::Micros shortest {core::Seconds(1)};
    core::Micros longest {core::Seconds(3)};
};

/** A load pattern with the fleet that carries it. */
struct EmulatedLoad
{
    std::string name;
    std::vector<EmulatedDisturbance> disturbances;
    double scale = 1; ///< Of the kinds' rates.
    core::Micros length {core::Seconds(30)};
    int zones = 6;
    int zonesPerRegion = 2;
    int vmsPerZone = 2;
    int upstreamsPerZone = 3;
    int slots = 2;
    int upstreamQueue = 8;
    EmulatedFailingPeriods failingPeriods;
};

/** What the callers of one kind of request got. */
struct EmulatedOutcome
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0; ///< As not run.
    int failed = 0;  ///< Perhaps run, or failed by the upstream.
};

/** What happened at one upstream. */
struct EmulatedUpstreamHistory
{
    std::vector<core::MonoTime> receivedAt; ///< Times at which requests arrived.
    /** Begin and end of its failing periods. */
    std::vector<std::pair<core::MonoTime, core::MonoTime>> failing;
    int mostAtOnce = 0; ///< Largest number of requests that ran or queued at once.
};

/** The outcome of one load under one policy. */
struct EmulatedReport
{
    std::map<std::string, EmulatedOutcome> kinds; ///< By route id.
    double earned = 0;
    double owed = 0;
    int sheds = 0;                       ///< Attempts that an upstream refused for want of room.
    int repeats = 0;                     ///< Arrivals at upstreams beyond the first of a request.
    double worstRepeats = 0;             ///< Most repeats of a window, as a part of the budget.
    core::Micros longestHeldRefusal {0}; ///< Longest time until a refusal, without any attempt.
    /** Earned and owed by window of arrival. */
    std::vector<std::pair<double, double>> windows;
    std::vector<EmulatedUpstreamHistory> upstreams;
    /** End of each request, and whether it was served. */
    std::vector<std::pair<core::MonoTime, bool>> ended;

    double worth() const { return owed == 0 ? 0 : earned / owed; }
    /** @return Share of a kind's requests that were answered with success. */
    static double servedShare(const EmulatedOutcome &kind)
    {
        return kind.asked == 0 ? 1 : static_cast<double>(kind.inTime + kind.late) / kind.asked;
    }
    /** @return The served share of the worst-served kind. */
    double worstKind() const
    {
        double worst = 1;
        for (const auto &[id, kind] : kinds)
            worst = std::min(worst, servedShare(kind));
        return worst;
    }
    /** @return What was earned of what was owed in the worst window. */
    double worstWindow() const
    {
        double worst = 1;
        for (const auto &[windowEarned, windowOwed] : windows)
            worst = std::min(worst, windowOwed == 0 ? 1 : windowEarned / windowOwed);
        return worst;
    }
    /** @return Share of all requests that were answered with success. */
    double served() const
    {
        int asked = 0;
        for (const auto &[id, kind] : kinds)
            asked += kind.asked;
        return asked == 0 ? 1 : static_cast<double>(sum(&EmulatedOutcome::inTime) + late()) / asked;
    }
    /** @return The users' weighing of it all: the served share counted in nines, the whole, the
     * worst window and the worst kind. */
    double value() const
    {
        constexpr double bestUnserved = 0.005;
        const double nines =
            std::log(std::max(bestUnserved, 1 - served())) / std::log(bestUnserved);
        return 0.35 * nines + 0.35 * worth() + 0.15 * worstWindow() + 0.15 * worstKind();
    }
    int asked() const { return sum(&EmulatedOutcome::asked); }
    int refused() const { return sum(&EmulatedOutcome::refused); }
    int failed() const { return sum(&EmulatedOutcome::failed); }
    int late() const { return sum(&EmulatedOutcome::late); }

private:
    int sum(int EmulatedOutcome::*field) const
    {
        int total = 0;
        for (const auto &[id, kind] : kinds)
            total += kind.*field;
        return total;
    }
};

} // namespace teaselreach::standins
