/** @file soak_main.cpp Runs the real daemons under random faults and checks what callers see. */
#include "soak_site_base.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

DEFINE_string(program, "", "Path of teaselreachd_platform");
DEFINE_string(folder, "", "Folder for settings and logs; a new one under /tmp if empty");
DEFINE_uint64(seed, 1, "First seed");
DEFINE_uint64(seeds, 1, "Number of seeds, one after the other");
DEFINE_int32(seconds, 20, "Length of each run");
DEFINE_int32(daemons, 6, "Daemons");

namespace {

using namespace teaselreach;

/** @return Whether the run had no violation. */
bool runSeed(std::uint64_t seed, const std::string &folder)
{
    std::filesystem::create_directories(folder);
    soak::SoakSite site({.program = FLAGS_program,
                         .folder = folder,
                         .seed = seed,
                         .length = core::Seconds(FLAGS_seconds),
                         .daemons = FLAGS_daemons});
    const soak::Ledger &ledger = site.run();
    std::cout << "seed " << seed << ": " << ledger.violations().size() << " broken;";
    for (const auto &[outcome, count] : ledger.outcomes())
        std::cout << " " << outcome << "=" << count;
    std::cout << '\n';
    if (ledger.violations().empty())
        return true;
    for (const std::string &line : site.timeline())
        std::cout << "  " << line << '\n';
    for (const soak::Violation &violation : ledger.violations())
        std::cout << "  BROKEN " << violation.rule << ": " << violation.detail << '\n';
    std::cout << "  logs: " << folder << std::endl;
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Randomized soak of teaselreach with real processes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string base = FLAGS_folder.empty()
        ? std::filesystem::temp_directory_path() / ("teaselreach-soak." + std::to_string(getpid()))
        : std::filesystem::path(FLAGS_folder);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        const std::string folder = base + "/seed-" + std::to_string(seed);
        if (runSeed(seed, folder))
            std::filesystem::remove_all(folder);
        else
            ++failed;
    }
    std::cout << FLAGS_seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
