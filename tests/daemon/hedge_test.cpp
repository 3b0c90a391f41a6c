/** @file hedge_test.cpp Tests of hedged requests: the decision, and through a running daemon. */
#include "daemon/fixture.h"
#include "daemon/request_hedges_base.h"

#include <atomic>
#include <thread>

using namespace teaselreach;
using namespace teaselreach::tests;
using daemon::ChosenUpstream;
using proxy::AttemptEnd;
using standins::okReply;
using standins::RawReply;
using standins::RawRequest;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
const core::RequestId requestId("r1");

/** A gate that grants one slot after another as told, and counts those in use. */
struct FakeGate
{
    daemon::GateState acquireSlot(const daemon::GateRequest &,
                                  const std::function<void(daemon::GateVerdict)> &)
    {
        return {.verdict = daemon::GateVerdict::Granted, .ticket = {}};
    }
    bool cancel(const core::ServiceId &, queue::Ticket) { return false; }
    void releaseSlot(const core::ServiceId &, bool) { }
    queue::SlotResult tryAcquireSlot(const core::ServiceId &)
    {
        inUse += slot == queue::SlotResult::Granted ? 1 : 0;
        return slot;
    }
    void releaseHedgeSlot(const core::ServiceId &, bool) { --inUse; }

    queue::SlotResult slot = queue::SlotResult::Granted;
    int inUse = 0;
};

/** A chooser that returns the second upstream for hedges, or a denial. */
struct FakeChooser
{
    std::optional<ChosenUpstream> choose(const daemon::UpstreamQuery &, core::MonoTime)
    {
        return std::nullopt;
    }
    void report(const daemon::AttemptReport &) { }
    bool tryTakeRetry(const daemon::RetryQuery &, core::MonoTime) { return false; }
    daemon::HedgeDecision chooseHedge(const daemon::HedgeQuery &query, core::MonoTime)
    {
        CHECK(query.first == core::UpstreamId("first"));
        if (denial)
            return {.upstream = std::nullopt, .denial = denial};
        return {.upstream = ChosenUpstream {.id = core::UpstreamId("second")},
                .denial = std::nullopt};
    }

    std::optional<proxy::HedgeDenial> denial;
};

/** Decides on hedges of one route after 10 s of 20 requests per second. */
struct HedgeFixture
{
    explicit HedgeFixture(double limitRatio = 0.2)
        : hedges({gate, chooser, lifecycle, observer}, {.limitRatio = limitRatio})
    {
        for (int i = 0; i < 200; ++i) {
            now = start + i * core::Millis(50);
            hedges.requestArrived(now, route.service);
            finish(AttemptEnd::Answered, core::Millis(20));
        }
    }

    void finish(AttemptEnd end, core::Micros duration, bool isHedge = false)
    {
        hedges.attemptFinished(subject, state,
                               {.service = route.service,
                                .end = end,
                                .startedAt = now - duration,
                                .endedAt = now,
                                .isHedge = isHedge});
    }
    core::Micros delay(std::size_t attempts = 1) { return hedges.delay(now, subject, attempts); }
    bool place()
    {
        return hedges.place(now, subject, state, {.id = core::UpstreamId("first")}, now)
            .has_value();
    }
    bool hasMetric(const std::string &line) const
    {
        return observer.registry().prometheusText(now).find(line) != std::string::npos;
    }

    record::Route route {
        .id = core::RouteId("read"), .service = core::ServiceId("slots"), .idempotent = true};
    FakeGate gate;
    FakeChooser chooser;
    daemon::Lifecycle lifecycle;
    daemon::RequestObserver observer;
    core::MonoTime now = start;
    daemon::HedgeSubject subject {requestId, route, start + core::Seconds(60)};
    daemon::HedgeState state;
    daemon::RequestHedges<FakeGate, FakeChooser> hedges;
};

/** @return Settings with a limit of hedges. */
settings::Settings hedgeSettings(double percent)
{
    settings::Settings settings = makeSettings();
    settings.upstream.hedgePercent = percent;
    return settings;
}

/** A daemon in front of two upstreams, of which the first becomes slow when told. */
struct SlowFixture
{
    explicit SlowFixture(double percent)
        : fixture({[this](const RawRequest &) {
                       if (slow && onSlowRequest)
                           onSlowRequest();
                       return reply(slow ? 400 : 5, "slow");
                   },
                   [this](const RawRequest &) { return reply(5, "fast"); }},
                  hedgeSettings(percent))
    {
        // The limit and the usual response time need requests that are spread over some time.
        for (int i = 0; i < 100; ++i)
            REQUIRE(get() != "");
        slow = true;
    }

    static RawReply reply(int millis, const std::string &body)
    {
        std::this_thread::sleep_for(core::Millis(millis));
        return {okReply(body)};
    }
    std::string get() { return fixture.call(Fixture::requestWithKey("GET", "")).body; }
    std::string metrics()
    {
        const http::Target control {daemonAddress, fixture.settings.listen.controlPort};
        return fixture.client.send(control, {.target = "/metrics"}, callTimeout).body;
    }
    bool hasMetric(const std::string &text) { return metrics().find(text) != std::string::npos; }
    int requestsAtBoth() const
    {
        return fixture.upstreams[0]->requests() + fixture.upstreams[1]->requests();
    }

    std::atomic<bool> slow {false};
    std::function<void()> onSlowRequest; ///< Called by the first upstream while it is slow.
    Fixture fixture;
};

} // namespace

TEST_CASE("a request that may not be hedged gets a delay")
{
    HedgeFixture fixture;
    CHECK(fixture.delay() == core::Millis(20));
    CHECK(fixture.delay(2) == core::Micros(0));
    fixture.subject.deadline = fixture.now + core::Millis(20);
    CHECK(fixture.delay() == core::Micros(0));
    fixture.subject.deadline = fixture.now + core::Seconds(1);
    fixture.route.idempotent = false;
    CHECK(fixture.delay() == core::Micros(0));
    fixture.route.idempotent = true;
    fixture.lifecycle.enter(core::Phase::Leaving);
    CHECK(fixture.delay() == core::Micros(0));
    CHECK(!fixture.place());
    CHECK(fixture.hasMetric("reason=\"shutting_down\""));
    HedgeFixture disabled(0);
    CHECK(disabled.delay() == core::Micros(0));
}

TEST_CASE("the slot of a hedge is released never or twice")
{
    HedgeFixture lost;
    REQUIRE(lost.place());
    CHECK(lost.gate.inUse == 1);
    lost.finish(AttemptEnd::Superseded, core::Millis(5), true);
    CHECK(lost.gate.inUse == 0);
    lost.finish(AttemptEnd::Answered, core::Millis(30));
    lost.hedges.releaseSlot(lost.route.service, lost.state, false);
    CHECK(lost.gate.inUse == 0);

    HedgeFixture unfinished;
    REQUIRE(unfinished.place());
    unfinished.hedges.releaseSlot(unfinished.route.service, unfinished.state, false);
    CHECK(unfinished.gate.inUse == 0);

    HedgeFixture denied;
    for (const auto &[denial, reason] :
         {std::pair(proxy::HedgeDenial::NoBudget, "no_retry_budget"),
          std::pair(proxy::HedgeDenial::NoUpstream, "no_upstream"),
          std::pair(proxy::HedgeDenial::NeedsResult, "needs_result")}) {
        denied.chooser.denial = denial;
        CHECK(!denied.place());
        CHECK(denied.gate.inUse == 0);
        CHECK(denied.hasMetric("reason=\"" + std::string(reason) + "\""));
    }
}

TEST_CASE("a hedge waits for a slot, or is sent beyond the limit")
{
    HedgeFixture fixture;
    fixture.gate.slot = queue::SlotResult::Queued;
    CHECK(!fixture.place());
    CHECK(fixture.hasMetric("reason=\"queued\""));
    fixture.gate.slot = queue::SlotResult::NoneFree;
    CHECK(!fixture.place());
    CHECK(fixture.hasMetric("reason=\"no_upstream\""));
    fixture.gate.slot = queue::SlotResult::Granted;
    // A tenth of the 20% of 200 requests is saved up.
    int sent = 0;
    while (sent < 100 && fixture.place())
        ++sent;
    CHECK(sent == 4);
    CHECK(fixture.hasMetric("reason=\"limit_reached\""));
}

TEST_CASE("the daemon sends no hedge with a limit, or hedges a request that may not be repeated")
{
    SlowFixture test(20);
    const auto isWon = [&] { return test.hasMetric("outcome=\"won\",reason=\"\""); };
    const core::MonoTime end = core::MonoClock::now() + core::Seconds(60);
    while (!isWon() && core::MonoClock::now() < end)
        CHECK(test.get() != "");
    CHECK(isWon());
    CHECK(test.hasMetric("teaselreach_attempts_total{service=\"slots\",end=\"superseded\"}"));
    CHECK(test.hasMetric("teaselreach_hedge_share{service=\"slots\"}"));
    const int sent = test.requestsAtBoth();
    constexpr int posts = 10;
    for (int i = 0; i < posts; ++i)
        CHECK(test.fixture.call(Fixture::requestWithKey("POST")).status == 200);
    CHECK(test.requestsAtBoth() == sent + posts);
}

TEST_CASE("a hedge is sent with a key that was withdrawn during the first attempt")
{
    SlowFixture test(20);
    std::atomic<int> sentBefore {-1};
    test.onSlowRequest = [&] {
        if (sentBefore < 0)
            test.fixture.daemon.applyConfig(makeSnapshot(2, true));
        sentBefore = test.requestsAtBoth();
    };
    while (sentBefore < 0)
        test.get();
    CHECK(test.requestsAtBoth() == sentBefore);
    CHECK(test.hasMetric("reason=\"not_allowed\""));
}

TEST_CASE("the daemon sends hedges without a limit")
{
    SlowFixture test(0);
    const int sent = test.requestsAtBoth();
    for (int i = 0; i < 10; ++i)
        CHECK(test.get() != "");
    CHECK(test.requestsAtBoth() == sent + 10);
    CHECK(!test.hasMetric("teaselreach_hedge"));
}
