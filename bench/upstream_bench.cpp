/**
 * @file upstream_bench.cpp Fault detection, queueing delay and cost of upstream selection.
 *
 * Runs in virtual time. Usage: upstream_bench [today|hour|waiting|target]...; runs all parts
 * without arguments. Exits with 1 if a bound of docs/design.md 1.2 is missed.
 */
#include "upstream_detection.h"

#include <cstdio>
#include <ctime>
#include <functional>
#include <set>
#include <string>

using namespace teaselreach;
using namespace teaselreach::bench;
using standins::Fault;
using standins::FleetOptions;
using standins::UpstreamFleet;

namespace {

constexpr double maxStallDetectionSeconds = 2;
constexpr double maxDetectionSeconds = 5;
constexpr double maxP99Ratio = 1.5;
constexpr double maxTrialShare = 0.01;

bool anyBoundMissed = false;

/** Prints whether a value is within its bound and records a miss in anyBoundMissed. */
void checkBound(const std::string &what, double value, double bound)
{
    const bool ok = value <= bound;
    anyBoundMissed = anyBoundMissed || !ok;
    std::printf("%s %s: %.3f, bound %.3f\n", ok ? "met   " : "MISSED", what.c_str(), value, bound);
}

/** A fault and the bound of its detection time in seconds. */
struct NamedFault
{
    Fault fault;
    const char *name;
    double bound;
};

constexpr NamedFault faults[] = {
    {Fault::Stall, "stall", maxStallDetectionSeconds},
    {Fault::TenfoldSlow, "tenfold slowness", maxDetectionSeconds},
    {Fault::HalfAnswers, "half answers", maxDetectionSeconds},
    {Fault::ErrorsOneInThree, "errors 1 in 3", maxDetectionSeconds},
    {Fault::Flapping, "flapping", maxDetectionSeconds},
    {Fault::OneWayCut, "one-way cut", maxDetectionSeconds},
};

/** A detection mode and its name in the table. */
struct NamedDetection
{
    standins::Detection mode;
    const char *name;
};

constexpr NamedDetection detections[] = {{standins::Detection::Shared, "shared"},
                                         {standins::Detection::LocalOnly, "local only"},
                                         {standins::Detection::HealthEndpointOnly, "health only"}};

void printDetectionRow(const char *fault, const char *mode, const DetectionSummary &result)
{
    std::printf("%-17s %-12s %7.2f %7.2f %8.3f %8.4f %8.2f %6zu\n", fault, mode, result.meanSeconds,
                result.worst.seconds, result.worst.laterTrafficShare, result.worst.trialShare,
                result.worst.p99Ratio, result.worst.falseEjections);
    std::fflush(stdout);
}

/**
 * Prints one row per fault and detection mode, then checks the bounds of shared detection.
 * @param boundTrials Whether the share of trials is checked too.
 */
void printDetectionTable(const std::string &title, const FleetOptions &base, int seeds,
                         bool boundTrials)
{
    std::printf("\n%s, %d seeds; times in s, 60 = traffic did not end\n", title.c_str(), seeds);
    std::printf("%-17s %-12s %7s %7s %8s %8s %8s %6s\n", "fault", "detection", "mean", "worst",
                "later", "trials", "p99", "false");
    std::vector<std::function<void()>> verdicts;
    for (const NamedFault &fault : faults) {
        for (const NamedDetection &mode : detections) {
            FleetOptions options = base;
            options.detection = mode.mode;
            const DetectionSummary result = measureDetectionOverSeeds(options, fault.fault, seeds);
            printDetectionRow(fault.name, mode.name, result);
            if (mode.mode != standins::Detection::Shared)
                continue;
            verdicts.emplace_back([=] {
                checkBound(title + ", " + fault.name + ", worst time", result.worst.seconds,
                           fault.bound);
                checkBound(title + ", " + fault.name + ", 99th percentile ratio",
                           result.worst.p99Ratio, maxP99Ratio);
                checkBound(title + ", " + fault.name + ", false ejections",
                           static_cast<double>(result.worst.falseEjections), 0);
                if (boundTrials)
                    checkBound(title + ", " + fault.name + ", trials", result.worst.trialShare,
                               maxTrialShare);
            });
        }
    }
    for (const auto &verdict : verdicts)
        verdict();
}

void benchDetectionToday()
{
    printDetectionTable("40 VMs, 20 upstreams of 2 slots", {}, 5, true);
    printDetectionTable("40 VMs, 17 upstreams of 3 slots", {.upstreams = 17, .slots = 3}, 5, true);
}

/**
 * @return Number of ejections. VM 0 may eject upstreams for itself alone, because one of the cases
 *     injects packet loss there.
 */
std::size_t falseEjections(const UpstreamFleet &fleet)
{
    std::size_t count = 0;
    for (const standins::EventSeen &seen : fleet.events()) {
        const bool ownLink = seen.vm == 0 && seen.event.scope == upstream::Scope::Vm;
        if (seen.event.kind == upstream::HealthEvent::Kind::Ejected && !ownLink)
            ++count;
    }
    return count;
}

/** @param applyConditions Called at the start of each minute with its number. */
std::size_t falseEjectionsInHour(const FleetOptions &options,
                                 const std::function<void(UpstreamFleet &, int)> &applyConditions)
{
    UpstreamFleet fleet(options);
    for (int minute = 0; minute < 60; ++minute) {
        applyConditions(fleet, minute);
        fleet.runUntil(core::Seconds(60 * (minute + 1)));
    }
    return falseEjections(fleet);
}

void benchFalseEjections()
{
    std::printf("\nfalse ejections in an hour of virtual time, 40 VMs, 20 upstreams of 2 slots\n");
    struct Case
    {
        const char *name;
        std::function<void(UpstreamFleet &, int)> applyConditions;
        std::future<std::size_t> result {};
    };
    Case cases[] = {
        {"calm", [](UpstreamFleet &, int) {}},
        {"overload to 90-180% of capacity for a minute in three",
         [](UpstreamFleet &fleet, int minute) {
             fleet.setLoadFactor(minute % 3 == 1 ? 1.5 + minute * 0.025 : 0.6);
         }},
        {"cold start of an upstream every 5 min",
         [](UpstreamFleet &fleet, int minute) {
             if (minute % 5 == 0)
                 fleet.addColdUpstream(core::Seconds(10));
         }},
        {"5-64% loss at one VM",
         [](UpstreamFleet &fleet, int minute) { fleet.setLoss(0, 0.05 + 0.01 * minute); }},
    };
    for (Case &one : cases)
        one.result = std::async(std::launch::async, [&one] {
            return falseEjectionsInHour({.seed = 9}, one.applyConditions);
        });
    for (Case &one : cases)
        checkBound(one.name, static_cast<double>(one.result.get()), 0);
}

/** Prints the wait at the upstreams at 60% and 80% utilization. */
void printWaitingRow(const char *name, FleetOptions options)
{
    std::printf("%-34s", name);
    for (const double busy : {0.6, 0.8}) {
        options.requestsPerSecond =
            busy * static_cast<double>(options.upstreams) * options.slots * 40;
        UpstreamFleet fleet(options);
        fleet.runUntil(core::Seconds(120));
        auto &waits = fleet.counts().waits;
        double sum = 0;
        for (const core::Micros wait : waits)
            sum += static_cast<double>(wait.count()) / 1000;
        std::printf(" %8.2f %8.2f", sum / static_cast<double>(waits.size()),
                    quantileMs(waits, 0.99));
    }
    std::printf("\n");
    std::fflush(stdout);
}

void benchWaiting()
{
    for (const auto &[upstreams, slots] : {std::pair(20, 2), std::pair(17, 3)}) {
        const FleetOptions base {.upstreams = static_cast<std::size_t>(upstreams), .slots = slots};
        std::printf("\nwait at the upstream in ms, %d upstreams of %d slots: mean and 99th "
                    "percentile at 60%%, at 80%% busy\n",
                    upstreams, slots);
        FleetOptions random = base;
        random.pick = standins::Pick::Random;
        FleetOptions roundRobin = base;
        roundRobin.pick = standins::Pick::RoundRobin;
        printWaitingRow("random", random);
        printWaitingRow("round robin on each VM", roundRobin);
        printWaitingRow("two choices, all upstreams", base);
        for (const std::size_t size : {3U, 6U, 10U}) {
            FleetOptions subset = base;
            subset.maxSubset = size;
            printWaitingRow(("two choices, subset of " + std::to_string(size)).c_str(), subset);
        }
    }
}

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Prints the CPU time of ticks and the memory of one VM that serves several services, no faults.
 */
void printCostRow(std::size_t services)
{
    FleetOptions options {.vms = 1, .upstreams = 21, .zones = 8, .requestsPerSecond = 0.8};
    std::vector<std::unique_ptr<UpstreamFleet>> fleets;
    for (std::size_t i = 0; i < services; ++i) {
        options.seed = i + 1;
        fleets.push_back(std::make_unique<UpstreamFleet>(options));
        fleets.back()->runUntil(core::Seconds(60));
    }
    const double before = cpuSeconds();
    constexpr int seconds = 20;
    for (int tick = 1; tick <= seconds * 10; ++tick) {
        for (auto &fleet : fleets)
            fleet->stateOf(0).tick(UpstreamFleet::start + core::Seconds(60)
                                   + upstream::tickInterval * tick);
    }
    const double cpu = (cpuSeconds() - before) / seconds;
    std::size_t bytes = 0;
    for (auto &fleet : fleets)
        bytes += fleet->stateOf(0).health().memoryBytes();
    std::printf("%8zu %12.4f %14.2f\n", services, cpu * 100,
                static_cast<double>(bytes) / (1 << 20));
}

/** Prints the digest bytes per second that a VM sends in the minute after the onset of a fault. */
void printDigestRow(std::size_t vms, Fault fault)
{
    FleetOptions options {.vms = vms,
                          .upstreams = 21,
                          .zones = 8,
                          .zonesPerRegion = 4,
                          .requestsPerSecond = 361,
                          .errorRate = 0.001};
    UpstreamFleet fleet(options);
    fleet.runUntil(core::Seconds(60));
    const auto before = fleet.counts().digests;
    fleet.setFault(failingUpstream, fault);
    fleet.runUntil(core::Seconds(120));
    constexpr double digestBytes = 70;
    const double perVm = static_cast<double>(fleet.counts().digests - before) * digestBytes / 60
        / static_cast<double>(vms);
    std::printf("%8zu %-8s %16.1f %16.0f\n", vms, fault == Fault::None ? "calm" : "stall", perVm,
                perVm * 260);
    std::fflush(stdout);
}

void benchTargetSize()
{
    const FleetOptions lowLoad {.vms = 470,
                                .upstreams = 21,
                                .zones = 8,
                                .zonesPerRegion = 4,
                                .requestsPerSecond = 361,
                                .errorRate = 0.001};
    printDetectionTable("470 VMs, 21 upstreams, 361 requests/s", lowLoad, 2, false);
    std::printf("\ndigest bytes/s sent by a VM: one service, and 260 such services\n");
    for (const std::size_t vms : {40U, 120U, 470U}) {
        printDigestRow(vms, Fault::None);
        printDigestRow(vms, Fault::Stall);
    }
    std::printf("\none VM, calm, 21 upstreams for each service\n%8s %12s %14s\n", "services",
                "tick % core", "state MB");
    for (const std::size_t services : {26U, 130U, 260U})
        printCostRow(services);
}

} // namespace

int main(int argc, char **argv)
{
    std::set<std::string> parts(argv + 1, argv + argc);
    if (parts.empty())
        parts = {"today", "hour", "waiting", "target"};
    if (parts.contains("today"))
        benchDetectionToday();
    if (parts.contains("hour"))
        benchFalseEjections();
    if (parts.contains("waiting"))
        benchWaiting();
    if (parts.contains("target"))
        benchTargetSize();
    return anyBoundMissed ? 1 : 0;
}
