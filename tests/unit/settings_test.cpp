/** @file settings_test.cpp Tests of reading and validating settings. */
#include "settings/settings_func.h"

#include <doctest/doctest.h>

#include <string>

using namespace teaselreach;

namespace {

const std::string validSettings =
    "vm:\n  id: e1\n  address: 127.0.1.1\n  availability_zone: a\n"
    "  region: r\nlisten:\n  caller_port: 8080\n  control_port: 8081\n"
    "store:\n  endpoints: [\"127.0.9.1:7100\"]\n"
    "vm_list:\n  endpoint: 127.0.9.2:7200\n";

struct InvalidSetting
{
    std::string from;
    std::string to;
    int line;
    std::string expected;
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("the example settings file is valid")
{
    const auto settings = settings::loadSettings(EXAMPLES_DIR "/teaselreachd.yaml");
    CHECK(settings.vm.id == core::VmId("entry-1"));
    CHECK(settings.store.endpoints.front().port == 7100);
    CHECK(settings.keys.maxStaleness == core::Seconds(300));
}

TEST_CASE("an invalid setting is rejected with its line and the expected value")
{
    const InvalidSetting invalidSettings[] = {
        {"vm:\n", "vn:\n", 1, "did you mean 'vm'?"},
        {"  region: r\n", "  region: r\n  zone_id: a\n", 6, "unknown key 'vm.zone_id'"},
        {"control_port: 8081", "control_port: 8080", 8, "must differ from listen.caller_port"},
        {"control_port: 8081", "control_port: 8081\n  idle_timeout_ms: 5", 9, "'idle_timeout_s'"},
        {"control_port: 8081", "control_port: 8081\n  idle_timeout_s: 5s", 9, "without a unit"},
        {"caller_port: 8080", "caller_port: 70000", 7, "from 1 to 65535"},
        {"caller_port: 8080", "caler_port: 8080", 7, "did you mean 'caller_port'?"},
        {"127.0.9.2:7200", "vms.example:7200", 12, "127.0.0.1:7100"},
        {"address: 127.0.1.1", "address: 127.0.1", 3, "not an IPv4 address"},
        {"store:\n", "keys:\n  max_staleness_s: 3\nstore:\n", 10, "at least 11"},
        {"  id: e1\n", "", 2, "'vm.id': is missing"},
        {"store:\n", "store: [\n", 11, "not valid YAML"},
        {"store:\n", "upstream:\n  hedge_percent: 20.5\nstore:\n", 10, "a number from 0 to 20"},
        {"store:\n", "upstream:\n  hedge_percent: -0.1\nstore:\n", 10, "a number from 0 to 20"},
        {"store:\n", "upstream:\n  hedge_percent: nan\nstore:\n", 10, "a number from 0 to 20"},
        {"store:\n", "upstream:\n  hedge_percent: 5%\nstore:\n", 10, "without a unit"},
        {"store:\n", "upstream:\n  hedge_percent:\nstore:\n", 10, "must be a scalar"},
        {"store:\n", "upstream:\n  hedge_percent: [5]\nstore:\n", 10, "must be a scalar"},
        {"store:\n", "upstream:\n  hedge_pct: 5\nstore:\n", 10, "unknown key 'upstream.hedge_pct'"},
    };
    REQUIRE_NOTHROW(settings::parseSettings(validSettings, "s.yaml"));
    for (const InvalidSetting &invalid : invalidSettings) {
        CAPTURE(invalid.to);
        try {
            settings::parseSettings(replaced(validSettings, invalid.from, invalid.to), "s.yaml");
            FAIL_CHECK("the invalid setting was accepted");
        } catch (const settings::SettingsError &error) {
            CHECK(std::string(error.what()).find(invalid.expected) != std::string::npos);
            CHECK(std::string(error.what()).starts_with("s.yaml:"));
            CHECK(error.line() == invalid.line);
        }
    }
}

TEST_CASE("hedging is on without a setting, or the setting loses its fraction")
{
    CHECK(settings::parseSettings(validSettings, "s.yaml").upstream.hedgePercent == 0);
    const auto percent = [](const std::string &value) {
        return settings::parseSettings(
                   validSettings + "upstream:\n  hedge_percent: " + value + "\n", "s.yaml")
            .upstream.hedgePercent;
    };
    CHECK(percent("0") == 0);
    CHECK(percent("2.5") == 2.5);
    CHECK(percent("20") == 20);
}
