// No case, since no rule in capitals covers it: machines that are lost while the store is away stay
// members if the store has dropped the history when it returns. Exits with 1 if the callers of a
// zone then get no address that serves them, though a machine of their zone does.
#include "rig.h"

using namespace rig;

int main(int argc, char **argv)
{
    return runCase(argc, argv, {.daemonsPerZone = 3}, [](Site &site) {
        Record &record = site.record;
        const Account chain {"bakery-chain", {"key-bakery-chain"}, 400, 400};
        const std::string zone = "dakar-plateau";
        site.configure(Site::tenantsOf({chain}));
        site.startAll();
        sleepMs(8000);
        const auto setMode = [&](StoreMode mode) {
            for (std::size_t i = 0; i < site.daemons.size(); ++i)
                site.store.setMode(static_cast<int>(i), mode);
        };
        std::set<std::string> lost;
        for (const Address &address : site.resolve(zone))
            lost.insert(address.text());
        setMode(StoreMode::Silent);
        record.line("the store is silent; leases run out meanwhile");
        sleepMs(500);
        for (auto &daemon : site.daemons) {
            if (hasTrouble() && lost.contains(daemon->front().text())) {
                daemon->end();
                record.line(daemon->options().name + " is lost for good");
            }
        }
        sleepMs(5500);
        site.store.compact();
        setMode(StoreMode::Serve);
        record.line("the store is back, without its history");
        sleepMs(20000);
        int served = 0;
        constexpr int callers = 20;
        for (int i = 0; i < callers; ++i) {
            for (const Address &address : site.resolve(zone)) {
                if (site.send(address, "POST", "/booking/1", chain.keys.front()).status != 200)
                    continue;
                ++served;
                break;
            }
        }
        int servedDirectly = 0;
        for (auto &daemon : site.daemons)
            if (daemon->options().zone == zone)
                servedDirectly +=
                    site.send(daemon->front(), "POST", "/booking/1", chain.keys.front()).status == 200 ? 1 : 0;
        record.say("callers of " + zone + " served by an address of the directory: " + std::to_string(served)
                   + " of " + std::to_string(callers) + "; machines of the zone that serve: "
                   + std::to_string(servedDirectly) + " of 3");
        return served == 0 && servedDirectly > 0 ? exitBroken : exitHeld;
    });
}
