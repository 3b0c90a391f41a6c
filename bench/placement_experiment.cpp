/** @file placement_experiment.cpp Compares placement policies on emulated load patterns. */
#include "standins/load_table.h"
#include "standins/plain_choosers.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <functional>

DEFINE_string(load, "", "Name of one load pattern; all if empty");
DEFINE_int32(seeds, 5, "Seeds for each pattern and policy");

namespace {

using namespace teaselreach;
using namespace teaselreach::standins;

/** Means over all seeds for one load pattern and policy. */
struct Row
{
    double value = 0;
    double worth = 0;
    double worstWindow = 0;
    double worstKind = 0;
    double late = 0;
    double refused = 0;
    double failed = 0;
    double sheds = 0;
    double repeats = 0;
    double heldMs = 0;
};

template <typename Chooser>
Row measure(const EmulatedLoad &load)
{
    Row row;
    const double weight = 1.0 / FLAGS_seeds;
    for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        const EmulatedReport report =
            ProxyEmulator<Chooser>(
                load, slotDeskKinds(),
                [](const auto &options, std::uint64_t chooserSeed) {
                    return std::make_unique<Chooser>(options, chooserSeed);
                },
                static_cast<std::uint64_t>(seed))
                .run();
        row.value += weight * report.value();
        row.worth += weight * report.worth();
        row.worstWindow += weight * report.worstWindow();
        row.worstKind += weight * report.worstKind();
        row.late += weight * report.late();
        row.refused += weight * report.refused();
        row.failed += weight * report.failed();
        row.sheds += weight * report.sheds;
        row.repeats += weight * report.repeats;
        row.heldMs +=
            weight
            * static_cast<double>(
                std::chrono::duration_cast<core::Millis>(report.longestHeldRefusal).count());
    }
    return row;
}

void print(const std::string &load, const char *policy, const Row &row)
{
    std::printf("%-28s %-13s %6.3f %6.3f %6.3f %6.3f %7.1f %7.1f %7.1f %7.1f %7.1f %7.0f\n",
                load.c_str(), policy, row.value, row.worth, row.worstWindow, row.worstKind,
                row.late, row.refused, row.failed, row.sheds, row.repeats, row.heldMs);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Compares policies of placement on load patterns in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%-30s %-14s %6s %6s %7s %7s %7s %7s %7s %7s\n", "load", "policy", "worth", "worst",
                "late", "refused", "failed", "sheds", "repeats", "held_ms");
    for (const EmulatedLoad &load : emulatedLoads()) {
        if (!FLAGS_load.empty() && load.name != FLAGS_load)
            continue;
        print(load.name, "expected_loss", measure<proxy::UpstreamTable>(load));
        print(load.name, "two_choices", measure<PlainChooser<TwoChoices>>(load));
        print(load.name, "least_loaded", measure<PlainChooser<LeastLoaded>>(load));
        print(load.name, "round_robin", measure<PlainChooser<RoundRobin>>(load));
    }
    return EXIT_SUCCESS;
}
