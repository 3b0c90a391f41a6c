/** @file body_budget_test.cpp Message bodies that together would fill the memory of a process. */
#include "flow_fixture.h"
#include "standins/endless_server.h"

#include <algorithm>
#include <fstream>
#include <optional>

using namespace teaselreach;
using namespace teaselreach::proxytest;
using standins::EndlessServer;
using standins::RawReply;
using standins::RawRequest;
using standins::RawServer;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

/** Memory of the smallest machine on which a daemon runs. */
constexpr std::size_t smallestMachine = 160'000'000;

/** @return Resident memory of this process in bytes. */
std::size_t residentMemory()
{
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
        std::size_t kibibytes = 0;
        if (word == "VmRSS:" && status >> kibibytes)
            return kibibytes * kibibyte;
    }
    FAIL("no VmRSS in /proc/self/status");
    return 0;
}

std::string statusOf(const std::string &response)
{
    constexpr std::size_t at = std::string_view("HTTP/1.1 ").size();
    return response.size() < at ? "" : response.substr(at, response.find(' ', at) - at);
}

/** @return The route "/book/" to the service of the tests and "/read/" to the service "files", with
 * an account that no limit binds. */
Configuration twoServices(core::Micros timeout)
{
    Configuration configuration = testConfiguration(timeout);
    configuration.routes.front().destinations = {{.service = core::ServiceId("files")}};
    configuration.accounts.front().ratePerSecond = 0;
    return configuration;
}

/** Sends small bookings until it is stopped, and counts the ones that were not served in time. */
class SmallBookings
{
public:
    explicit SmallBookings(FlowFixture &fixture)
        : thread_([this, &fixture] {
            while (!stopped_) {
                const core::MonoTime start = core::MonoClock::now();
                const bool good = statusOf(fixture.sendRequest(
                                      callerRequest("POST", "/book/", "small", "", "one crew")))
                    == "200";
                const bool inTime = core::MonoClock::now() - start < core::Millis(1000);
                ++(good && inTime ? served_ : failed_);
            }
        })
    { }
    ~SmallBookings() { stop(); }
    SmallBookings(const SmallBookings &) = delete;
    SmallBookings &operator=(const SmallBookings &) = delete;

    void stop()
    {
        stopped_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    int served() const { return served_; }
    int failed() const { return failed_; }

private:
    std::atomic<bool> stopped_ {false};
    std::atomic<int> served_ {0};
    std::atomic<int> failed_ {0};
    std::thread thread_;
};

/** Many callers that request a file of an upstream and read nothing of the response, and bookings
 * at a sound upstream beside them. */
class FileCallers
{
public:
    FileCallers(const EndlessServer &files, int count, core::Micros timeout)
        : sound_(
            "127.0.0.1",
            [](const RawRequest &request) { return RawReply {sealedReply(request, "booked")}; })
        , fixture_(twoServices(timeout))
    {
        returnFreedBodiesToSystem(); // As the daemon does before it serves.
        fixture_.addUpstream("i-sound", sound_);
        for (int i = 0; i < count; ++i)
            fixture_.addUpstreamAt("i-" + std::to_string(i), "127.0.0.1", files.port(), "files");
        bookings_.emplace(fixture_);
        for (int i = 0; i < count; ++i) {
            sockets_.push_back(fixture_.connect());
            standins::sendAll(sockets_.back(), callerRequest("GET", "/read/", "large"));
        }
    }
    ~FileCallers()
    {
        bookings_.reset();
        for (const int socket : sockets_)
            ::close(socket);
    }
    FileCallers(const FileCallers &) = delete;
    FileCallers &operator=(const FileCallers &) = delete;

    /** @return Whether all responses have begun. */
    bool allAnswered() const
    {
        return std::all_of(sockets_.begin(), sockets_.end(), [](int socket) {
            char byte = 0;
            return ::recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0;
        });
    }
    void stopBookings() { bookings_->stop(); }
    /** @return Bookings that were served in time, and that were not. */
    int served() const { return bookings_->served(); }
    int failed() const { return bookings_->failed(); }

private:
    RawServer sound_;
    FlowFixture fixture_;
    std::optional<SmallBookings> bookings_;
    std::vector<int> sockets_;
};

} // namespace

TEST_CASE("long bodies leave no room for short ones")
{
    const auto budget = std::make_shared<BodyBudget>(BodyBudgetOptions {
        .maxBytes = 8 * mebibyte, .shortBodyBytes = 64 * kibibyte, .shortBodyPart = 0.25});
    CHECK(budget->canEverHold(6 * mebibyte));
    CHECK_FALSE(budget->canEverHold(6 * mebibyte + 1));
    BodyReservation large(budget);
    CHECK(large.extendTo(6 * mebibyte));
    BodyReservation second(budget);
    CHECK_FALSE(second.extendTo(64 * kibibyte + 1));
    std::vector<BodyReservation> small;
    for (std::size_t i = 0; i < 2 * mebibyte / (64 * kibibyte); ++i)
        CHECK(small.emplace_back(budget).extendTo(64 * kibibyte));
    CHECK_FALSE(second.extendTo(1));
    CHECK(budget->taken() == 8 * mebibyte);
}

TEST_CASE(
    "a reservation that was moved, extended or refused gives back another amount than it took")
{
    const auto budget = std::make_shared<BodyBudget>(
        BodyBudgetOptions {.maxBytes = 1000, .shortBodyBytes = 1000, .shortBodyPart = 0});
    {
        BodyReservation first(budget);
        CHECK(first.extendTo(300));
        CHECK(first.extendTo(200));
        CHECK(budget->taken() == 300);
        BodyReservation moved = std::move(first);
        CHECK(moved.extendTo(700));
        CHECK_FALSE(moved.extendTo(1001));
        CHECK(budget->taken() == 700);
        BodyReservation other(budget);
        CHECK(other.extendTo(100));
        moved = std::move(other);
        CHECK(budget->taken() == 100);
        moved.release();
        moved.release();
        CHECK(budget->taken() == 0);
        CHECK(moved.extendTo(5));
    }
    CHECK(budget->taken() == 0);
}

TEST_CASE("responses that callers do not read fill the memory of a daemon")
{
    constexpr int callers = 150;
    constexpr std::size_t bodyBytes = 8 * mebibyte;
    EndlessServer large("HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: large\r\nContent-Length: "
                            + std::to_string(bodyBytes) + "\r\n\r\n",
                        "aaaaaaaa");
    FileCallers calls(large, callers, core::Seconds(4));
    std::size_t peak = 0;
    const core::MonoTime end = core::MonoClock::now() + core::Seconds(3);
    CHECK(eventually([&] { return large.sentBytes() > 8 * bodyBytes; }));
    while (core::MonoClock::now() < end) {
        peak = std::max(peak, residentMemory());
        std::this_thread::yield();
    }
    calls.stopBookings();
    CHECK(peak < smallestMachine);
    CHECK(calls.served() > 0);
    CHECK(calls.failed() == 0);
}

TEST_CASE("bodies without end from many upstreams at once exhaust the memory of a daemon")
{
    constexpr int callers = 200;
    EndlessServer endless("HTTP/1.1 200 OK\r\nX-Seal: s1\r\nX-Attempt: large\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          "2000\r\n" + std::string(0x2000, 'a') + "\r\n");
    FileCallers calls(endless, callers, core::Seconds(2));
    std::size_t peak = 0;
    while (!calls.allAnswered())
        peak = std::max(peak, residentMemory());
    calls.stopBookings();
    CHECK(peak < smallestMachine);
    CHECK(calls.served() > 0);
    CHECK(calls.failed() == 0);
}

TEST_CASE("uploads that are sent at once are all kept, or fail without a word whether they ran")
{
    constexpr int uploads = 8;
    constexpr std::size_t uploadBytes = 3 * mebibyte;
    Gate hold;
    std::atomic<int> ran {0};
    RawServer upstream("127.0.0.1", [&](const RawRequest &request) {
        if (headerOf(request.head, "X-Attempt") != "small") {
            ++ran;
            hold.wait();
        }
        return RawReply {sealedReply(request, "booked")};
    });
    const BodyBudgetOptions options {.maxBytes = 8 * mebibyte};
    FlowFixture fixture(twoServices(core::Seconds(4)), core::Seconds(5), options, 4 * mebibyte);
    for (int i = 0; i < uploads; ++i)
        fixture.addUpstream("i-" + std::to_string(i), upstream);
    SmallBookings bookings(fixture);
    const std::string body(uploadBytes, 'x');
    std::vector<std::thread> threads;
    threads.reserve(uploads);
    std::atomic<int> served {0};
    std::atomic<int> refused {0};
    for (int i = 0; i < uploads; ++i) {
        threads.emplace_back([&, i] {
            const std::string response = fixture.sendRequest(
                callerRequest("POST", "/book/", "large-" + std::to_string(i), "", body));
            served += statusOf(response) == "200" ? 1 : 0;
            refused +=
                statusOf(response) == "503" && !headerOf(response, "Retry-After").empty() ? 1 : 0;
        });
    }
    CHECK(eventually([&] { return refused == uploads - 2; }));
    CHECK(eventually([&] { return ran == 2; }));
    hold.open();
    for (std::thread &thread : threads)
        thread.join();
    CHECK(served == 2);
    CHECK(refused == uploads - 2);
    bookings.stop();
    CHECK(bookings.served() > 0);
    CHECK(bookings.failed() == 0);
    // What was held is free again, and a body that can never fit is too large.
    const std::string again = callerRequest("POST", "/book/", "large-9", "", body);
    CHECK(statusOf(fixture.sendRequest(again)) == "200");
}

TEST_CASE("a body that never fits the memory is refused with a time to come back")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "booked")};
    });
    const BodyBudgetOptions options {.maxBytes = 2 * mebibyte};
    FlowFixture fixture(testConfiguration(), core::Seconds(5), options, 4 * mebibyte);
    fixture.addUpstream("i-1", upstream);
    const std::string body(3 * mebibyte, 'x');
    CHECK(statusOf(fixture.sendRequest(callerRequest("POST", "/book/", "a1", "", body))) == "413");
    CHECK(upstream.requests() == 0);
}

TEST_CASE("a caller that stops in the middle of its body holds the room of others without end")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, "booked")};
    });
    const BodyBudgetOptions options {.maxBytes = 6 * mebibyte};
    FlowFixture fixture(twoServices(core::Seconds(4)), core::Millis(300), options, 4 * mebibyte);
    fixture.addUpstream("i-1", upstream);
    const std::string upload =
        callerRequest("POST", "/book/", "a1", "", std::string(3 * mebibyte, 'x'));
    const int stopped = fixture.connect();
    standins::sendAll(stopped, upload.substr(0, upload.size() / 2));
    // It has the room until it has sent nothing for the idle timeout.
    CHECK(eventually([&] { return statusOf(fixture.sendRequest(upload)) == "503"; }));
    CHECK(eventually([&] { return statusOf(fixture.sendRequest(upload)) == "200"; }));
    CHECK(upstream.requests() == 1);
    ::close(stopped);
}

TEST_CASE("a caller that sends its body slowly is cut off")
{
    RawServer upstream("127.0.0.1", [](const RawRequest &request) {
        return RawReply {sealedReply(request, request.body)};
    });
    FlowFixture fixture(twoServices(core::Seconds(4)), core::Millis(300));
    fixture.addUpstream("i-1", upstream);
    const std::string request = callerRequest("POST", "/book/", "a1", "", "one crew");
    const int slow = fixture.connect();
    standins::limitReceiveTime(slow, 3);
    standins::sendAll(slow, request.substr(0, request.size() - 8));
    for (const char byte : std::string("one crew")) {
        const core::MonoTime next = core::MonoClock::now() + core::Millis(100);
        CHECK(eventually([&] { return core::MonoClock::now() > next; }));
        standins::sendAll(slow, std::string(1, byte));
    }
    std::string start(sizeof "HTTP/1.1 200" - 1, '\0');
    CHECK(::recv(slow, start.data(), start.size(), MSG_WAITALL)
          == static_cast<ssize_t>(start.size()));
    CHECK(start == "HTTP/1.1 200");
    ::close(slow);
}
