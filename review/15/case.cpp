/** @file case.cpp A planned stop of the two machines that take the callers of a zone. */
#include "../stand-ins-3/hot_tenant.h"

namespace {

/** From the stop until the tenant is hot: it is hot before. */
constexpr double hotAfter = -3.5;
/** Time in which a machine that has ended is started again. */
constexpr double stopTime = 9;

int play(const std::string &folder)
{
    return rig::playHotTenant(
        folder, hotAfter, [](const std::vector<rig::ActiveFront> &active, double time) {
            for (const rig::ActiveFront &front : active) {
                front.daemon.kill(SIGTERM);
                rig::record().add("trouble  SIGTERM to " + front.daemon.name());
            }
            while (rig::now() < time + stopTime) {
                rig::sleepUntil(rig::now() + 0.05);
                for (const rig::ActiveFront &front : active) {
                    if (front.daemon.running())
                        continue;
                    rig::record().add("trouble  " + front.daemon.name()
                                      + " has ended and starts again");
                    front.daemon.startAgain();
                }
            }
        });
}

} // namespace

int main(int argc, char **argv)
{
    _exit(rig::runCase(argc, argv, play));
}
