/** @file dispatch_gate_test.cpp Tests of DispatchGate and ConcurrencyLimit. */
#include "queue/dispatch_gate_base.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

using namespace teaselreach;
using queue::GateOutcome;
using queue::GateResult;

namespace {

queue::GateRequest makeRequest(const char *account, core::Millis timeLeft)
{
    return {.account = core::ClientAccountId(account),
            .deadline = core::MonoClock::now() + timeLeft};
}

} // namespace

TEST_CASE("requests in flight never exceed the limit, and all waiting requests are granted")
{
    queue::DispatchGate gate({}, {.minimum = 1, .maximum = 3});
    std::atomic<int> inside {0};
    std::atomic<int> most {0};
    std::atomic<int> granted {0};
    std::vector<std::jthread> threads;
    threads.reserve(20);
    for (int i = 0; i < 20; ++i) {
        threads.emplace_back([&, i] {
            for (int round = 0; round < 50; ++round) {
                const auto request = makeRequest(i % 2 == 0 ? "a" : "b", core::Millis(60000));
                if (gate.acquire(request) != GateResult::Granted)
                    return;
                const int now = ++inside;
                int seen = most;
                while (now > seen && !most.compare_exchange_weak(seen, now)) { }
                --inside;
                ++granted;
                gate.release(GateOutcome::Answered);
            }
        });
    }
    threads.clear();
    CHECK(granted == 1000);
    CHECK(most <= 3);
    CHECK(gate.inFlight() == 0);
    CHECK(gate.waiting() == 0);
}

TEST_CASE("a request that waits behind a stalled one is refused at its deadline, not later")
{
    queue::DispatchGate gate({}, {.minimum = 1, .maximum = 1});
    REQUIRE(gate.acquire(makeRequest("a", core::Millis(60000))) == GateResult::Granted);
    const auto request = makeRequest("b", core::Millis(50));
    CHECK(gate.acquire(request) == GateResult::DeadlineExceeded);
    CHECK(core::MonoClock::now() > request.deadline);
    CHECK(gate.waiting() == 0);
    gate.release(GateOutcome::Failed);
    CHECK(gate.acquire(makeRequest("c", core::Millis(60000))) == GateResult::Granted);
}

TEST_CASE("additional slots grant a waiting request without a release")
{
    queue::DispatchGate gate({}, {.minimum = 1, .maximum = 1});
    REQUIRE(gate.acquire(makeRequest("a", core::Millis(60000))) == GateResult::Granted);
    auto second = std::async(std::launch::async, [&gate] {
        return gate.acquire(makeRequest("b", core::Millis(60000)));
    });
    while (gate.waiting() == 0)
        std::this_thread::yield();
    gate.setSlots(2);
    CHECK(second.get() == GateResult::Granted);
}

TEST_CASE("shed requests lower the limit once per burst, answers raise it up to the slots")
{
    const core::MonoTime start {core::Seconds(10)};
    queue::ConcurrencyLimit limit({.minimum = 2, .maximum = 40});
    for (int i = 0; i < 50; ++i)
        limit.recordShed(start + core::Millis(i));
    CHECK(limit.current() == 32);
    for (int i = 1; i < 50; ++i)
        limit.recordShed(start + core::Millis(100 * i));
    CHECK(limit.current() == 2);
    for (int i = 0; i < 2000; ++i)
        limit.recordAnswered();
    CHECK(limit.current() == 40);
}

TEST_CASE("tryAcquire() takes a slot beyond the limit, or before a request that waits")
{
    queue::DispatchGate gate({}, {.minimum = 1, .maximum = 2});
    CHECK(gate.tryAcquire() == queue::SlotResult::Granted);
    CHECK(gate.tryAcquire() == queue::SlotResult::Granted);
    CHECK(gate.tryAcquire() == queue::SlotResult::NoneFree);
    const auto waiting = gate.acquireAsync(makeRequest("a", core::Millis(60000)), [](auto) {});
    CHECK(!waiting.result);
    CHECK(gate.tryAcquire() == queue::SlotResult::Queued);
    CHECK(gate.inFlight() == 2);
    REQUIRE(gate.cancel(waiting.ticket));
    gate.release(GateOutcome::Failed);
    CHECK(gate.tryAcquire() == queue::SlotResult::Granted);
    CHECK(gate.inFlight() == 2);
}
