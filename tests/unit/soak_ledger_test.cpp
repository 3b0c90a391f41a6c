/** @file soak_ledger_test.cpp Each check of the soak finds its violation and nothing beside it. */
#include "ledger_base.h"

#include <doctest/doctest.h>

#include <functional>

using namespace teaselreach;
using soak::Ledger;

namespace {

const core::MonoTime start {core::Seconds(100)};

/** @return The rules that a history breaks, separated by commas. */
std::string broken(const std::function<void(Ledger &)> &history)
{
    Ledger ledger;
    ledger.configured({.name = "bakery", .key = "k1", .ratePerSecond = 10, .burst = 10});
    ledger.sent("a", "k1", false);
    ledger.sent("read", "k1", true);
    history(ledger);
    std::string rules;
    for (const soak::Violation &violation : ledger.violations())
        rules += (rules.empty() ? "" : ",") + violation.rule;
    return rules;
}

void run(Ledger &ledger, const std::string &id, core::MonoTime at = start)
{
    ledger.ran(at, id, "bakery", false);
}

} // namespace

TEST_CASE("a booking that ran after or before a promise is not reported")
{
    for (const int promise : {408, 421, 429, 503}) {
        CAPTURE(promise);
        CHECK(broken([&](Ledger &ledger) {
                  run(ledger, "a");
                  ledger.answered("a", promise, "", false);
              })
              == "not run");
        CHECK(broken([&](Ledger &ledger) {
                  ledger.answered("a", promise, "", false);
                  run(ledger, "a");
              })
              == "not run");
        CHECK(broken([&](Ledger &ledger) {
                  ledger.answered("a", promise, "", false);
                  run(ledger, "read");
                  ledger.answered("read", promise, "", false);
              }).empty());
    }
    for (const int noPromise : {500, 502, 504}) {
        CHECK(broken([&](Ledger &ledger) {
                  run(ledger, "a");
                  ledger.answered("a", noPromise, "", false);
              }).empty());
    }
}

TEST_CASE("a booking that ran twice, or that no caller sent, is not reported")
{
    CHECK(broken([](Ledger &ledger) { run(ledger, "a"), run(ledger, "a"); }) == "at most once");
    CHECK(broken([](Ledger &ledger) { run(ledger, "read"), run(ledger, "read"); }).empty());
    CHECK(broken([](Ledger &ledger) { run(ledger, "b"); }) == "unasked");
}

TEST_CASE("a success of another request, cut or without a seal is not reported")
{
    const auto answered = [](const std::string &body, bool sealed) {
        return broken([&](Ledger &ledger) { ledger.answered("a", 200, body, sealed); });
    };
    CHECK(answered("ran a", true).empty());
    CHECK(answered("ran a", false) == "own answer");
    CHECK(answered("ran", true) == "own answer");
    CHECK(answered("ran b", true) == "own answer");
}

TEST_CASE("a run for the wrong account, with the key, or over the limit is not reported")
{
    CHECK(broken([](Ledger &ledger) { ledger.ran(start, "a", "clinic", false); }) == "account");
    CHECK(broken([](Ledger &ledger) { ledger.ran(start, "a", "bakery", true); }) == "key");
    // 10/s and a burst of 10, with an overrun of 10% and 20 requests, allow 86 in 5 s.
    const auto runs = [](int count, core::Micros apart) {
        return broken([&](Ledger &ledger) {
            for (int i = 0; i < count; ++i) {
                const std::string id = "r" + std::to_string(i);
                ledger.sent(id, "k1", true);
                run(ledger, id, start + i * apart);
            }
        });
    };
    CHECK(runs(86, core::Micros(1)).empty());
    CHECK(runs(87, core::Micros(1)) == "limit");
    CHECK(runs(200, core::Millis(60)).empty());
}

TEST_CASE("more requests at a cold upstream than the users allow are not reported")
{
    // A limit of 1/s allows 9 requests in one second.
    const auto arrivals = [](int count, core::Micros apart) {
        return broken([&](Ledger &ledger) {
            for (int i = 0; i < count; ++i) {
                ledger.arrivedCold(start + i * apart, "i-1");
                ledger.arrivedCold(start, "i-other-" + std::to_string(i));
            }
        });
    };
    CHECK(arrivals(9, core::Micros(1)).empty());
    CHECK(arrivals(10, core::Micros(1)) == "cold");
    CHECK(arrivals(10, core::Millis(111)) == "cold");
    CHECK(arrivals(50, core::Micros(111112)).empty());
}

TEST_CASE("a request that a planned stop cut off while it ran is not reported")
{
    CHECK(broken([](Ledger &ledger) { run(ledger, "a"), ledger.closedByShutdown("a"); })
          == "graceful stop");
    CHECK(broken([](Ledger &ledger) { ledger.closedByShutdown("a"); }).empty());
}

TEST_CASE("a run outside the regions that a configuration in force allows is not reported")
{
    const soak::SoakZone abroad {"z2", "r1"};
    const auto runs = [&](const soak::HomeRegions &last, std::size_t oldestVersion,
                          const std::string &account = "bakery") {
        return broken([&](Ledger &ledger) {
            ledger.configuredHomes({});
            ledger.configuredHomes(last);
            ledger.sentTo("a", {.route = "home", .oldestVersion = oldestVersion});
            ledger.ranIn("a", account, abroad);
        });
    };
    CHECK(runs({{"home", "r0"}}, 1) == "region");
    CHECK(runs({{"home", "r0"}}, 0).empty()); // It may have met the version before.
    CHECK(runs({{"home", "r1"}, {"bakery", "r0"}}, 1) == "region");
    CHECK(runs({{"home", "r1"}, {"bakery", "r0"}}, 1, "clinic").empty());
}

TEST_CASE("a request that reaches a zone long after its evacuation is not reported")
{
    const auto arrival = [](core::Micros after, const std::function<void(Ledger &)> &before) {
        return broken([&](Ledger &ledger) {
            ledger.sentTo("a", {.daemon = 3});
            ledger.evacuated(start, "z1");
            before(ledger);
            ledger.arrivedIn(start + after, "a", "z1", {});
        });
    };
    const auto nothing = [](Ledger &) {};
    const core::Micros late = core::Seconds(5) + core::Micros(1);
    CHECK(arrival(late, nothing) == "evacuation");
    CHECK(arrival(core::Seconds(5), nothing).empty());
    CHECK(arrival(late, [](Ledger &ledger) { ledger.evacuationEnded(start, "z1"); }).empty());
    // Excused: the daemon lost the store meanwhile; not another daemon.
    const auto fault = [](int daemon) {
        return [daemon](Ledger &ledger) { ledger.daemonFault(start + core::Millis(1), daemon); };
    };
    CHECK(arrival(late, fault(3)).empty());
    CHECK(arrival(late, fault(2)) == "evacuation");
    CHECK(arrival(late + core::Millis(1), fault(3)) == "evacuation");
}

TEST_CASE("a zone that gets nothing after its evacuation is not reported")
{
    const auto demand = [](int requests, core::Micros apart, core::Micros from, bool arrives) {
        return broken([&](Ledger &ledger) {
            ledger.sentTo("a", {});
            ledger.evacuated(start, "z1");
            ledger.evacuationEnded(start, "z1");
            for (int i = 0; i < requests; ++i) {
                ledger.demanded(start + from + i * apart, "z1");
                if (arrives && i == requests / 2)
                    ledger.arrivedIn(start + from + i * apart, "a", "z1", {});
            }
        });
    };
    const core::Millis apart(100);
    const core::Micros none {0};
    CHECK(demand(152, apart, none, false) == "failback");
    CHECK(demand(151, apart, none, false).empty()); // Until 15 s after the evacuation.
    CHECK(demand(152, apart, none, true).empty());
    // Five seconds of demand, or a little less, or with pauses.
    CHECK(demand(51, apart, core::Millis(10001), false) == "failback");
    CHECK(demand(50, apart, core::Millis(10101), false).empty());
    CHECK(demand(50, core::Millis(1001), none, false).empty());
}
