// CONFIG: the changes that some machines missed are larger than the answer that a machine reads.
#include "rig.h"

using namespace rig;

int main(int argc, char **argv)
{
    return runCase(argc, argv, {}, [](Site &site) {
        Record &record = site.record;
        // TROUBLE=entries and TROUBLE=away leave out one of the two disruptions.
        const std::string trouble = std::getenv("TROUBLE") == nullptr ? "" : std::getenv("TROUBLE");
        const bool hasEntries = hasTrouble() && trouble != "away";
        const bool isAway = hasTrouble() && trouble != "entries";
        const Account stays {"tenant-stays", {"key-that-stays"}, 47, 47};
        const Account leaves {"tenant-leaves", {"key-withdrawn"}, 47, 47};
        site.configure(Site::tenantsOf({stays, leaves}));
        site.startAll();
        if (hasEntries) {
            record.line("another writer renews three entries of 1,000,000 bytes each, every 1.5 s");
            std::thread([&site] {
                const std::string unreadable(1000000, '\xff');
                while (true) {
                    for (const char *name : {"servers/other-1", "servers/other-2", "servers/other-3"})
                        site.store.put(name, unreadable);
                    sleepMs(1500);
                }
            }).detach();
        }
        sleepMs(8000); // Traffic starts 8 s after the machines do.
        // A third of the machines: both of each of two zones.
        const std::set<std::string> zones {"thies-mbour", "sl-sor"};
        std::vector<std::size_t> away;
        for (std::size_t i = 0; i < site.daemons.size(); ++i)
            if (zones.contains(site.zoneOf(i)))
                away.push_back(i);
        const auto setMode = [&](StoreMode mode) {
            for (const std::size_t i : away)
                site.store.setMode(static_cast<int>(i), mode);
        };
        const auto ask = [&](const std::string &key) {
            std::set<std::string> ids;
            for (const std::size_t i : away) {
                std::string id;
                site.send(site.daemons[i]->front(), "POST", "/booking/1", key, &id);
                ids.insert(id);
            }
            return ids;
        };
        auto before = ask(leaves.keys.front());
        if (isAway) {
            record.line("the store turns 4 of 12 machines away with 503 for 9 s");
            setMode(StoreMode::Busy);
        }
        sleepMs(9000);
        setMode(StoreMode::Serve);
        record.line("the store serves all machines");
        // The core is stable and all machines are in touch: `contact` is 3 s.
        sleepMs(3500);
        record.line("all machines are in touch");
        const Time ack = site.configure(Site::tenantsOf({stays}));
        sleepMs(2700);
        record.line("`config` (2.5 s) is over");
        std::set<std::string> late;
        for (int i = 0; i < 10; ++i) {
            late.merge(ask(leaves.keys.front()));
            sleepMs(1000);
        }
        sleepMs(500);
        site.recordRuns();
        int ranBefore = 0, ranLate = 0;
        double latest = 0;
        for (const Run &run : site.runs()) {
            ranBefore += before.contains(run.id) ? 1 : 0;
            ranLate += late.contains(run.id) ? 1 : 0;
            if (late.contains(run.id))
                latest = secondsBetween(ack, run.at);
        }
        if (ranBefore == 0)
            throw std::runtime_error("nothing is served at all");
        record.say("ran with a withdrawn key, sent 2.7 s or more after the ack: " + std::to_string(ranLate)
                   + " of " + std::to_string(late.size()) + "; the last one " + std::to_string(latest)
                   + " s after the ack");
        return ranLate > 0 ? exitBroken : exitHeld;
    });
}
