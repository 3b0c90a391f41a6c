/** @file fleet_test.cpp Propagation of configuration and membership between several daemons. */
#include "config/accept_func.h"
#include "daemon/fixture.h"
#include "standins/kv_store_base.h"
#include "standins/vm_list_base.h"
#include "store/http_store_base.h"

#include <thread>

using namespace teaselreach;
using namespace teaselreach::tests;

namespace {

constexpr int fleetSize = 4;

/** Four daemons of one availability zone with a store and a VM list. */
class FleetFixture
{
public:
    /** @param withoutStore Number of daemons whose store endpoint does not respond. */
    explicit FleetFixture(int withoutStore = 0)
    {
        nlohmann::json list = {{"vms", nlohmann::json::array()}};
        for (int i = 0; i < fleetSize; ++i) {
            settings_.push_back(makeSettings());
            settings::Settings &settings = settings_.back();
            settings.vm.id = core::VmId("e" + std::to_string(i));
            settings.store.endpoints = {endpointOf(store.url())};
            // Longer than the test, so that only a change ends a watch call.
            settings.store.watchTimeout = core::Millis(60'000);
            if (i < withoutStore)
                settings.store.endpoints.front().port = standins::freePort("127.0.0.1");
            settings.vmList.endpoint = endpointOf(vmList_.url());
            list["vms"].push_back({{"role", "entry"},
                                   {"id", settings.vm.id.str()},
                                   {"address", settings.vm.address},
                                   {"availability_zone", "a"},
                                   {"region", "r"},
                                   {"state", "live"},
                                   {"caller_port", settings.listen.callerPort},
                                   {"control_port", settings.listen.controlPort}});
        }
        vmList_.setVms(list.dump());
        for (const settings::Settings &settings : settings_) {
            daemons_.push_back(std::make_unique<daemon::Daemon>(settings));
            daemons_.back()->startFeeds();
        }
    }

    /** Writes a change of one service to the store. */
    void putService(int slots)
    {
        store::HttpStore client({.endpoints = {store.url()}});
        config::acceptChange(client,
                             {record::makeEdit(record::EditOperation::Put,
                                               record::Service {.id = core::ServiceId("s"),
                                                                .slotsPerUpstream = slots})},
                             {.id = core::ChangeId("change-" + std::to_string(slots))});
    }

    /** @return Number of daemons whose active revision is at least `revision`. */
    int countWithRevision(std::uint64_t revision)
    {
        int count = 0;
        for (const auto &daemon : daemons_) {
            const auto snapshot = daemon->config().current();
            count += snapshot && snapshot->revision().count() >= revision ? 1 : 0;
        }
        return count;
    }

    /** @return Number of VMs that know that every other VM receives their messages. */
    int countHeardByAll()
    {
        int count = 0;
        for (const settings::Settings &settings : settings_) {
            const http::Result result =
                client_.send({settings.vm.address, settings.listen.controlPort},
                             {.method = "POST",
                              .target = "/rpc",
                              .headers = {{"Content-Type", "application/json"}},
                              .body = R"({"jsonrpc": "2.0", "id": 1, "method": "fleet.members"})"},
                             callTimeout);
            const auto members = nlohmann::json::parse(result.body)["result"];
            int heard = 0;
            for (const auto &member : members)
                heard += member.contains("hears_this_vm_ms_ago") ? 1 : 0;
            count += heard == fleetSize - 1 ? 1 : 0;
        }
        return count;
    }

    /** @return Number of watch calls that the store has received. */
    std::uint64_t countWatchCalls() const
    {
        std::uint64_t count = 0;
        for (const auto &[call, calls] : store.counters())
            count += call.find("watch") != std::string::npos ? calls : 0;
        return count;
    }

    standins::KvStore store {{}};

private:
    static settings::ServiceEndpoint endpointOf(const std::string &url)
    {
        const std::size_t colon = url.rfind(':');
        return {.address = "127.0.0.1",
                .port = static_cast<std::uint16_t>(std::stoi(url.substr(colon + 1)))};
    }

    standins::VmListServer vmList_ {{}};
    std::vector<settings::Settings> settings_;
    std::vector<std::unique_ptr<daemon::Daemon>> daemons_;
    http::Client client_ {{}};
};

bool becomesTrueWithin(core::Millis time, const std::function<bool()> &condition)
{
    const core::MonoTime end = core::MonoClock::now() + time;
    while (!condition()) {
        if (core::MonoClock::now() > end)
            return false;
        std::this_thread::sleep_for(core::Millis(5));
    }
    return true;
}

} // namespace

TEST_CASE("two VMs of a zone watch the store, and the others get a change from them")
{
    // Guards against a watch by every daemon, which made the store's load grow with the fleet.
    FleetFixture fixture;
    fixture.putService(1);
    REQUIRE(becomesTrueWithin(core::Seconds(20),
                              [&] { return fixture.countWithRevision(1) == fleetSize; }));
    REQUIRE(becomesTrueWithin(core::Seconds(20),
                              [&] { return fixture.countHeardByAll() == fleetSize; }));
    // Both watchers have received the first change and now watch for the next: two calls each.
    REQUIRE(becomesTrueWithin(core::Seconds(20), [&] { return fixture.countWatchCalls() == 4; }));
    fixture.putService(2);
    // Shorter than the time after which a VM without news polls the store.
    REQUIRE(becomesTrueWithin(core::Seconds(3),
                              [&] { return fixture.countWithRevision(2) == fleetSize; }));
    CHECK(becomesTrueWithin(core::Seconds(3), [&] { return fixture.countWatchCalls() == 6; }));
    CHECK(!becomesTrueWithin(core::Millis(300), [&] { return fixture.countWatchCalls() > 6; }));
}

TEST_CASE("VMs without access to the store get the configuration from their peers")
{
    FleetFixture fixture(2);
    fixture.putService(1);
    CHECK(becomesTrueWithin(core::Seconds(20),
                            [&] { return fixture.countWithRevision(1) == fleetSize; }));
    fixture.putService(2);
    CHECK(becomesTrueWithin(core::Seconds(20),
                            [&] { return fixture.countWithRevision(2) == fleetSize; }));
}
