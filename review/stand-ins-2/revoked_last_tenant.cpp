// UNASKED, ROUTE and CONFIG: the operator withdraws the client accounts, one version each.
#include "rig.h"

using namespace rig;

int main(int argc, char **argv)
{
    return runCase(argc, argv, {}, [](Site &site) {
        Record &record = site.record;
        std::vector<Account> accounts;
        for (int i = 0; i < 4; ++i)
            accounts.push_back({"tenant-" + std::to_string(i), {"key-of-tenant-" + std::to_string(i)}, 47, 47});
        const std::string firstKey = accounts.front().keys.front(), lastKey = accounts.back().keys.front();
        const std::string unknownKey = "key-of-nobody";
        site.configure(Site::tenantsOf(accounts));
        site.startAll();
        sleepMs(8000); // Traffic starts 8 s after the machines do.
        // Sends a request to each machine twice.
        const auto ask = [&](const std::string &key) {
            std::set<std::string> ids;
            for (std::size_t i = 0; i < 2 * site.daemons.size(); ++i) {
                std::string id;
                site.send(site.daemons[i % site.daemons.size()]->front(), "POST", "/booking/1", key, &id);
                ids.insert(id);
            }
            return ids;
        };
        const auto served = ask(lastKey);
        auto foreign = ask(unknownKey);
        // Without the trouble, the last account stays. TROUBLE=keys withdraws the same keys, but leaves
        // the accounts in the configuration, without keys.
        const bool keepsAccounts = hasTrouble() && std::getenv("TROUBLE") != nullptr
            && std::string(std::getenv("TROUBLE")) == "keys";
        const std::size_t withdrawals = hasTrouble() ? accounts.size() : accounts.size() - 1;
        for (std::size_t i = 0; i < withdrawals; ++i) {
            if (keepsAccounts)
                accounts[i].keys.clear();
            else
                accounts.erase(accounts.begin());
            site.configure(Site::tenantsOf(accounts));
            sleepMs(700);
        }
        sleepMs(6000); // More than `config` (2500 ms) and than `revoke` (5000 ms) after the last ack.
        auto withdrawn = ask(firstKey);
        if (hasTrouble())
            withdrawn.merge(ask(lastKey));
        foreign.merge(ask(unknownKey));
        foreign.merge(ask(""));
        sleepMs(500);
        site.recordRuns();
        int ranServed = 0, ranWithdrawn = 0, ranForeign = 0;
        for (const Run &run : site.runs()) {
            ranServed += served.contains(run.id) ? 1 : 0;
            ranWithdrawn += withdrawn.contains(run.id) ? 1 : 0;
            ranForeign += foreign.contains(run.id) ? 1 : 0;
        }
        if (ranServed == 0)
            throw std::runtime_error("nothing is served at all");
        record.say("ran with a withdrawn key: " + std::to_string(ranWithdrawn) + " of "
                   + std::to_string(withdrawn.size()) + "; with a key that no configuration ever held, or none: "
                   + std::to_string(ranForeign) + " of " + std::to_string(foreign.size()));
        return ranWithdrawn + ranForeign > 0 ? exitBroken : exitHeld;
    });
}
