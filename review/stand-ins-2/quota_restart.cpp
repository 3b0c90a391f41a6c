// QUOTA while all processes are killed at once and start again.
#include "rig.h"

using namespace rig;

int main(int argc, char **argv)
{
    return runCase(argc, argv, {}, [](Site &site) {
        Record &record = site.record;
        const Account chain {"bakery-chain", {"key-bakery-chain"}, 47, 47};
        site.configure(Site::tenantsOf({chain}));
        site.startAll();
        sleepMs(8000); // Traffic starts 8 s after the machines do.
        record.line("traffic starts: 2.2 times the account's rate");
        Load load(site, chain.keys.front(), 2.2 * chain.rate, 48);
        std::thread clients([&] { load.run(8); });
        // The account has used its allowance of the window.
        sleepMs(2700);
        if (hasTrouble()) {
            record.line("SIGKILL to all daemons");
            for (auto &daemon : site.daemons)
                daemon->end();
            sleepMs(300);
            for (auto &daemon : site.daemons)
                daemon->start(false);
            record.line("all daemons are started again");
        }
        clients.join();
        site.recordRuns();
        const double allowed = (chain.rate * 5 + chain.burst) * 1.1 + 20;
        Time end {};
        const int most = site.mostRuns(chain.name, 5, &end);
        record.lineAt(end, "the fullest window ends");
        record.say("requests of " + chain.name + " that were sent, arrived and ran in the fullest 5 s: " + std::to_string(most) + ", allowed "
                   + std::to_string(allowed));
        return most > allowed ? exitBroken : exitHeld;
    });
}
