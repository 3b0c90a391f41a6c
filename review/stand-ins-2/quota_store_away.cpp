// QUOTA while the store turns some machines away and serves the others.
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
        // A third of the machines: those of one region.
        const auto setMode = [&](StoreMode mode) {
            for (std::size_t i = 0; i < site.daemons.size(); ++i)
                if (site.daemons[i]->options().region == "saint-louis")
                    site.store.setMode(static_cast<int>(i), mode);
        };
        if (hasTrouble()) {
            record.line("the store turns the machines of saint-louis away with 503: 4 of 12");
            setMode(StoreMode::Busy);
        }
        Load load(site, chain.keys.front(), 4 * chain.rate, 48);
        std::thread clients([&] {
            sleepMs(28000);
            record.line("the account sends 4 times its rate for 8 s");
            load.run(8);
        });
        sleepMs(37000);
        setMode(StoreMode::Serve);
        record.line("the store serves all machines");
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
