/** @file fair_queue_test.cpp Tests of the order, bounds and deadlines of the fair queue. */
#include "queue/fair_queue_base.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace teaselreach;
using queue::EnqueueResult;
using queue::Ticket;
using record::RouteClass;

namespace {

constexpr core::MonoTime start {core::Seconds(100)};
constexpr core::MonoTime far = start + core::Seconds(60);

queue::QueuedRequest makeRequest(std::uint64_t ticket, const char *account,
                                 RouteClass routeClass = RouteClass::Normal)
{
    return {.ticket = Ticket(ticket),
            .account = core::ClientAccountId(account),
            .routeClass = routeClass,
            .deadline = far};
}

} // namespace

TEST_CASE("a small account's request does not wait behind a large account's backlog")
{
    queue::FairQueue fair({});
    for (std::uint64_t i = 1; i <= 100; ++i)
        REQUIRE(fair.enqueue(makeRequest(i, "large"), start) == EnqueueResult::Queued);
    for (int i = 0; i < 10; ++i)
        fair.dequeue();
    fair.enqueue(makeRequest(500, "small"), start);
    const auto first = fair.dequeue();
    const auto second = fair.dequeue();
    CHECK((first == Ticket(500) || second == Ticket(500)));
}

TEST_CASE("turns follow the weights while all accounts have requests queued")
{
    queue::FairQueue fair({.maxQueued = 10000, .maxQueuedPerAccount = 5000});
    for (std::uint64_t i = 0; i < 1000; ++i) {
        auto heavy = makeRequest(i * 2, "heavy");
        heavy.weight = 3;
        fair.enqueue(heavy, start);
        fair.enqueue(makeRequest(i * 2 + 1, "light"), start);
    }
    int heavyTurns = 0;
    for (int i = 0; i < 400; ++i)
        heavyTurns += fair.dequeue()->count() % 2 == 0 ? 1 : 0;
    CHECK(heavyTurns >= 299);
    CHECK(heavyTurns <= 301);
}

TEST_CASE("urgent requests precede normal and deferrable ones of the same account")
{
    queue::FairQueue fair({});
    fair.enqueue(makeRequest(1, "bakery", RouteClass::Deferrable), start);
    fair.enqueue(makeRequest(2, "bakery", RouteClass::Normal), start);
    fair.enqueue(makeRequest(3, "bakery", RouteClass::Urgent), start);
    CHECK(fair.dequeue() == Ticket(3));
    CHECK(fair.dequeue() == Ticket(2));
    CHECK(fair.dequeue() == Ticket(1));
    CHECK(fair.dequeue() == std::nullopt);
}

TEST_CASE("an account that was idle saves up no turns and cannot take every slot")
{
    queue::FairQueue fair({});
    for (std::uint64_t i = 1; i <= 100; ++i)
        fair.enqueue(makeRequest(i, "steady"), start);
    for (int i = 0; i < 50; ++i)
        fair.dequeue();
    for (std::uint64_t i = 201; i <= 240; ++i)
        fair.enqueue(makeRequest(i, "idle"), start);
    int idleTurns = 0;
    for (int i = 0; i < 20; ++i)
        idleTurns += fair.dequeue()->count() > 200 ? 1 : 0;
    CHECK(idleTurns <= 11);
}

TEST_CASE("one account's backlog is refused before it fills the queue for others")
{
    queue::FairQueue fair({.maxQueued = 10, .maxQueuedPerAccount = 6});
    for (std::uint64_t i = 1; i <= 6; ++i)
        REQUIRE(fair.enqueue(makeRequest(i, "large"), start) == EnqueueResult::Queued);
    CHECK(fair.enqueue(makeRequest(7, "large"), start) == EnqueueResult::QueueFull);
    CHECK(fair.enqueue(makeRequest(8, "small"), start) == EnqueueResult::Queued);
}

TEST_CASE("a request that cannot meet its deadline is refused on arrival or expires in the queue")
{
    queue::FairQueue fair({});
    auto request = makeRequest(1, "captain");
    request.deadline = start + core::Millis(20);
    request.expectedServiceTime = core::Millis(25);
    CHECK(fair.enqueue(request, start) == EnqueueResult::DeadlineTooClose);
    request.deadline = start + core::Millis(125);
    CHECK(fair.enqueue(request, start) == EnqueueResult::Queued);
    CHECK(fair.nextExpiry() == start + core::Millis(100));
    CHECK(fair.takeExpired(start + core::Millis(100)).empty());
    CHECK(fair.takeExpired(start + core::Millis(101)) == std::vector {Ticket(1)});
    CHECK(fair.size() == 0);
}

TEST_CASE("under random use each ticket leaves exactly once and the bounds hold after each step")
{
    constexpr queue::FairQueueOptions options {.maxQueued = 50, .maxQueuedPerAccount = 20};
    static const char *const accounts[] = {"a", "b", "c", "d"};
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        queue::FairQueue fair(options);
        std::map<Ticket, int> departures;
        core::MonoTime now = start;
        std::uint64_t queued = 0;
        for (std::uint64_t step = 1; step <= 500; ++step) {
            now += core::Millis(random() % 5);
            auto request =
                makeRequest(step, accounts[random() % 4], static_cast<RouteClass>(random() % 3));
            request.deadline = now + core::Millis(random() % 200);
            request.weight = static_cast<int>(random() % 5) + 1;
            if (fair.enqueue(request, now) == EnqueueResult::Queued)
                ++queued;
            for (const Ticket ticket : fair.takeExpired(now))
                ++departures[ticket];
            if (random() % 2 == 0) {
                if (const auto ticket = fair.dequeue())
                    ++departures[*ticket];
            }
            const Ticket cancelled(random() % step + 1);
            if (random() % 4 == 0 && fair.cancel(cancelled))
                ++departures[cancelled];
            REQUIRE(fair.size() <= options.maxQueued);
            REQUIRE(fair.size() + departures.size() == queued);
            for (const char *account : accounts)
                REQUIRE(fair.sizeOf(core::ClientAccountId(account)) <= options.maxQueuedPerAccount);
        }
        while (const auto ticket = fair.dequeue())
            ++departures[*ticket];
        REQUIRE(departures.size() == queued);
        for (const auto &[ticket, count] : departures)
            REQUIRE(count == 1);
    }
}
