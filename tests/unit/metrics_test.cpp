/** @file metrics_test.cpp Tests of latency summaries and the Prometheus text output. */
#include "metrics/registry_base.h"

#include <doctest/doctest.h>

#include <random>
#include <thread>

using namespace teaselreach;

TEST_CASE("estimated quantiles of a uniform distribution are within 2% of the exact ones")
{
    metrics::LatencySummary summary;
    std::mt19937 random(1);
    std::uniform_int_distribution<int> micros(0, 1000000);
    for (int i = 0; i < 100000; ++i)
        summary.add(core::Micros(micros(random)));
    CHECK(summary.count() == 100000);
    CHECK(summary.quantileSeconds(0) == doctest::Approx(0.5).epsilon(0.02));
    CHECK(summary.quantileSeconds(2) == doctest::Approx(0.99).epsilon(0.02));
}

TEST_CASE("with too few samples for an estimate, the quantile is the largest duration")
{
    metrics::LatencySummary summary;
    CHECK(summary.quantileSeconds(2) == 0);
    summary.add(core::Millis(5));
    summary.add(core::Millis(7));
    CHECK(summary.quantileSeconds(2) == doctest::Approx(0.007));
}

TEST_CASE("requests counted by concurrent threads are all exported, with their labels escaped")
{
    metrics::Registry registry;
    const core::MonoTime now {core::Seconds(10)};
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&registry, now] {
            for (int i = 0; i < 1000; ++i) {
                registry.countRequest({.service = core::ServiceId("slots"),
                                       .account = core::ClientAccountId("a\"b"),
                                       .outcome = "answered"},
                                      core::Millis(2), now);
                registry.addCounter("teaselreach_borrows_total", {}, 1);
            }
        });
    }
    threads.clear();
    registry.setGauge("teaselreach_config_revision", {}, 7);
    const std::string text = registry.prometheusText(now);
    CHECK(text.find("teaselreach_request_duration_seconds_count{account=\"a\\\"b\",outcome="
                    "\"answered\",service=\"slots\"} 4000\n")
          != std::string::npos);
    CHECK(text.find("teaselreach_borrows_total 4000\n") != std::string::npos);
    CHECK(text.find("# TYPE teaselreach_config_revision gauge\nteaselreach_config_revision 7\n")
          != std::string::npos);
}

TEST_CASE("quantiles that are an hour old are no longer exported")
{
    metrics::Registry registry;
    const core::MonoTime now {core::Seconds(10)};
    registry.countRequest({.outcome = "answered"}, core::Millis(2), now);
    CHECK(registry.prometheusText(now).find("quantile") != std::string::npos);
    CHECK(registry.prometheusText(now + core::Seconds(3600)).find("quantile") == std::string::npos);
}
