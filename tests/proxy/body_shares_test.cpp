/** @file body_shares_test.cpp Accounts that compete for the memory for message bodies. */
#include "flow_fixture.h"
#include "proxy/body_gauges_base.h"
#include "standins/endless_server.h"

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::EndlessServer;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

constexpr std::size_t mebibyte = std::size_t {1024} * 1024;

const core::ClientAccountId bakery("bakery");
const core::ClientAccountId mill("mill");

BodyBudgetOptions sharedBudget(std::size_t maxBytes)
{
    return {.maxBytes = maxBytes, .shortBodyPart = 0, .sharesByAccount = true};
}

/** @return The configuration of the tests with a second account that has the key "k2". */
Configuration twoAccounts()
{
    Configuration configuration = testConfiguration(core::Seconds(4));
    configuration.accounts.push_back({.id = mill, .keys = {"k2"}, .burst = 1});
    return configuration;
}

std::string withKey(std::string request, const std::string &key)
{
    return request.replace(request.find("Bearer k1"), 9, "Bearer " + key);
}

/** @return teaselreach_body_bytes of an account, or -1. */
double gaugeOf(const metrics::Registry &registry, const core::ClientAccountId &account)
{
    const std::string name = "teaselreach_body_bytes{account=\"" + account.str() + "\"} ";
    const std::string text = registry.prometheusText(core::MonoClock::now());
    const std::size_t at = text.find(name);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size()));
}

std::string statusOf(const std::string &response)
{
    return response.size() < 12 ? "" : response.substr(9, 3);
}

} // namespace

// Failure guarded against: an account that came first keeps the whole budget while another one
// requests room, or one without competitors is held back.
TEST_CASE("accounts that compete get equal shares, and one alone gets everything")
{
    const core::MonoTime start {core::Seconds(100)};
    BodyShares shares;
    CHECK(shares.mayTake(start, bakery, 6 * mebibyte, 6 * mebibyte, 8 * mebibyte));
    shares.taken(bakery, 6 * mebibyte);
    CHECK(shares.mayTake(start, bakery, 2 * mebibyte, 2 * mebibyte, 8 * mebibyte));
    shares.refused(start, mill);
    CHECK_FALSE(shares.mayTake(start, bakery, mebibyte, mebibyte, 8 * mebibyte));
    CHECK(shares.mayTake(start, mill, 4 * mebibyte, 4 * mebibyte, 8 * mebibyte));
    shares.givenBack(bakery, 4 * mebibyte);
    CHECK(shares.mayTake(start, bakery, 2 * mebibyte, 2 * mebibyte, 8 * mebibyte));
    // The demand of an account that does not come back ends.
    const core::MonoTime later = start + core::Seconds(3);
    CHECK(shares.mayTake(later, bakery, 6 * mebibyte, 6 * mebibyte, 8 * mebibyte));
}

// Failure guarded against: many small accounts lower the share below one body, or an account with a
// short body counts as a competitor for all of the memory.
TEST_CASE("each account may hold one body, and short bodies do not compete")
{
    const core::MonoTime start {core::Seconds(100)};
    BodyShares shares;
    for (int i = 0; i < 20; ++i)
        shares.taken(core::ClientAccountId("small-" + std::to_string(i)), 1000);
    CHECK(shares.mayTake(start, bakery, 8 * mebibyte, 8 * mebibyte, 8 * mebibyte));
    for (int i = 0; i < 20; ++i)
        shares.taken(core::ClientAccountId("small-" + std::to_string(i)), 100'000);
    CHECK(shares.mayTake(start, bakery, 4 * mebibyte, 4 * mebibyte, 8 * mebibyte));
    shares.taken(bakery, 4 * mebibyte);
    CHECK_FALSE(shares.mayTake(start, bakery, mebibyte, mebibyte, 8 * mebibyte));
}

// Failure guarded against: bytes are charged to another account after a move, or stay charged.
TEST_CASE("a reservation charges its own account until it is released")
{
    const auto budget = std::make_shared<BodyBudget>(sharedBudget(8 * mebibyte));
    metrics::Registry registry;
    BodyGauges gauges;
    {
        BodyReservation first(budget, bakery);
        CHECK(first.extendTo(3 * mebibyte));
        BodyReservation second(budget, mill);
        CHECK(second.extendTo(2 * mebibyte));
        BodyReservation moved = std::move(first);
        moved.reduceTo(mebibyte);
        CHECK(budget->heldBy(bakery) == mebibyte);
        CHECK(budget->heldBy(mill) == 2 * mebibyte);
        moved = std::move(second);
        CHECK(budget->heldBy(bakery) == 0);
        CHECK(budget->largest(5).size() == 1);
        gauges.publish(*budget, registry);
        CHECK(gaugeOf(registry, mill) == doctest::Approx(2 * mebibyte));
    }
    CHECK(budget->heldBy(mill) == 0);
    gauges.publish(*budget, registry);
    CHECK(gaugeOf(registry, mill) == 0);
}

// Failure guarded against: without the setting, an account is held to a share.
TEST_CASE("without shares by account the budget does not distinguish accounts")
{
    const auto budget = std::make_shared<BodyBudget>(
        BodyBudgetOptions {.maxBytes = 8 * mebibyte, .shortBodyPart = 0});
    BodyReservation small(budget, mill);
    CHECK(small.extendTo(mebibyte));
    BodyReservation large(budget, bakery);
    CHECK(large.extendTo(7 * mebibyte));
    CHECK(budget->heldBy(bakery) == 0);
    CHECK(budget->largest(5).empty());
}

// Failure guarded against: the responses that one account does not read take the room of another
// account that sends and reads.
TEST_CASE("an account that reads nothing leaves room for another one that sends")
{
    constexpr std::size_t fileBytes = 2 * mebibyte;
    EndlessServer files("HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: large\r\nContent-Length: "
                            + std::to_string(fileBytes) + "\r\n\r\n",
                        "aaaaaaaa");
    RawServer bookings("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "booked")};
    });
    Configuration configuration = twoAccounts();
    configuration.routes.front().destinations = {{.service = core::ServiceId("files")}};
    FlowFixture fixture(configuration, core::Seconds(5), sharedBudget(16 * mebibyte), 4 * mebibyte);
    fixture.addUpstreamAt("i-files", "127.0.0.1", files.port(), "files");
    fixture.addUpstream("i-book", bookings);
    const std::string upload =
        withKey(callerRequest("POST", "/book/", "b", "", std::string(3 * mebibyte, 'x')), "k2");
    CHECK(statusOf(fixture.sendRequest(upload)) == "200");
    std::vector<int> sockets;
    // The second account has requested room, so the first one is held to a half of 16 MiB.
    const int competitor = fixture.connect();
    standins::sendAll(competitor, upload.substr(0, upload.size() / 2));
    CHECK(eventually([&] { return fixture.bodyBytesOf(mill) == 3 * mebibyte; }));
    for (int i = 0; i < 12; ++i) {
        sockets.push_back(fixture.connect());
        standins::sendAll(sockets.back(), callerRequest("GET", "/read/", "large"));
    }
    CHECK(eventually([&] { return fixture.bodyBytesOf(bakery) >= 6 * mebibyte; }));
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.bodyBytesOf(bakery) <= 8 * mebibyte);
        CHECK(statusOf(fixture.sendRequest(upload)) == "200");
    }
    for (const int socket : sockets)
        ::close(socket);
    ::close(competitor);
}

// Failure guarded against: one large response among many small ones reserves its size for all of
// them, or the size is still assumed when responses have become small or are long past.
TEST_CASE("the size of a route's responses is predicted from the latest ones")
{
    const core::MonoTime start {core::Seconds(100)};
    const core::RouteId route("files");
    ResponseSizes sizes;
    CHECK(sizes.expected(start, route) == 0);
    sizes.responded(start, route, 8 * mebibyte);
    CHECK(sizes.expected(start, route) == 8 * mebibyte);
    CHECK(sizes.expected(start + core::Seconds(61), route) == 0);
    CHECK(sizes.expected(start, core::RouteId("other")) == 0);
    for (int i = 0; i < 15; ++i)
        sizes.responded(start, route, 1000);
    CHECK(sizes.expected(start, route) == 0);
    sizes.responded(start, route, mebibyte);
    sizes.responded(start, route, 2 * mebibyte);
    CHECK(sizes.expected(start, route) == mebibyte);
}

// Failure guarded against: requests are sent to an upstream although their responses find no room,
// and fail in the middle of them; or an account that reads nothing fills the memory.
TEST_CASE(
    "of 150 callers that never read 8 MB, those without room are refused before they are sent")
{
    constexpr int callers = 150;
    constexpr std::size_t fileBytes = 8 * mebibyte;
    EndlessServer files("HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: large\r\nContent-Length: "
                            + std::to_string(fileBytes) + "\r\n\r\n",
                        std::string(0x10000, 'a'));
    FlowFixture fixture(twoAccounts(), core::Seconds(5), sharedBudget(40 * mebibyte));
    for (int i = 0; i < 4; ++i)
        fixture.addUpstreamAt("i-" + std::to_string(i), "127.0.0.1", files.port());
    std::vector<int> sockets;
    const auto startCaller = [&] {
        sockets.push_back(fixture.connect());
        standins::limitReceiveTime(sockets.back(), 3);
        standins::sendAll(sockets.back(), callerRequest("GET", "/read/", "large"));
    };
    const auto statusAt = [](int socket) {
        std::string start(12, '\0');
        const auto count = ::recv(socket, start.data(), start.size(), MSG_PEEK | MSG_WAITALL);
        return count == 12 ? start.substr(9) : "";
    };
    // The first response shows the size.
    startCaller();
    CHECK(statusAt(sockets.front()) == "200");
    int served = 1;
    int refused = 0;
    for (int i = 1; i < callers; ++i)
        startCaller();
    for (int i = 1; i < callers; ++i) {
        const std::string status = statusAt(sockets[static_cast<std::size_t>(i)]);
        served += status == "200" ? 1 : 0;
        refused += status == "503" ? 1 : 0;
    }
    CHECK(served + refused == callers);
    CHECK(served >= 3);
    CHECK(served <= 5);
    for (const int socket : sockets)
        ::close(socket);
    CHECK(eventually([&] { return fixture.bodyBytesOf(bakery) == 0; }));
}
