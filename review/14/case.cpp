/** @file case.cpp The store turns the two machines away that take the callers of a zone. */
#include "../stand-ins-3/hot_tenant.h"

namespace {

/** Time for which the store turns machines away, and from its start until the tenant is hot. */
constexpr double awayTime = 9;
constexpr double hotAfter = 5;

int play(const std::string &folder)
{
    return rig::playHotTenant(
        folder, hotAfter, [](const std::vector<rig::ActiveFront> &active, double time) {
            for (const rig::ActiveFront &front : active) {
                front.path.turnAway(true);
                rig::record().add("trouble  the store turns " + front.daemon.name() + " away");
            }
            rig::sleepUntil(time + awayTime);
            for (const rig::ActiveFront &front : active)
                front.path.turnAway(false);
            rig::record().add("trouble  the store turns nobody away any more");
        });
}

} // namespace

int main(int argc, char **argv)
{
    _exit(rig::runCase(argc, argv, play));
}
