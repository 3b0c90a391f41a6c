/** @file fixture.h A daemon with one service, two accounts and scripted upstreams. */
#pragma once

#include "core/digest_func.h"
#include "daemon/daemon_base.h"
#include "http/headers_func.h"
#include "standins/free_port.h"
#include "standins/raw_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace teaselreach::tests {

inline const std::string daemonAddress = "127.0.5.1";
inline constexpr core::Millis callTimeout {5000};

inline record::RecordSet makeRecords(bool keyWithdrawn = false)
{
    const core::ClientAccountId bakery("bakery");
    return {.accounts = {{.id = bakery, .routes = {core::RouteId("book"), core::RouteId("read")}},
                         {.id = core::ClientAccountId("other")}},
            .keys = {{.id = core::KeyId("k1"),
                      .account = bakery,
                      .digest = core::sha256Hex("key-1"),
                      .withdrawn = keyWithdrawn},
                     {.id = core::KeyId("k2"),
                      .account = core::ClientAccountId("other"),
                      .digest = core::sha256Hex("key-2")}},
            .routes = {{.id = core::RouteId("book"),
                        .pathPrefix = "/slots",
                        .methods = {"POST"},
                        .service = core::ServiceId("slots")},
                       {.id = core::RouteId("read"),
                        .pathPrefix = "/slots",
                        .methods = {"GET", "HEAD"},
                        .service = core::ServiceId("slots"),
                        .idempotent = true},
                       {.id = core::RouteId("open"),
                        .pathPrefix = "/open",
                        .service = core::ServiceId("slots"),
                        .openToAll = true,
                        .timeout = core::Millis(200)}},
            .services = {{.id = core::ServiceId("slots"), .slotsPerUpstream = 32}}};
}

inline std::shared_ptr<const config::ConfigSnapshot> makeSnapshot(std::uint64_t revision,
                                                                  bool keyWithdrawn = false)
{
    return std::make_shared<const config::ConfigSnapshot>(core::Revision(revision),
                                                          makeRecords(keyWithdrawn));
}

inline settings::Settings makeSettings()
{
    settings::Settings settings;
    settings.vm = {.id = core::VmId("e1"),
                   .address = daemonAddress,
                   .location = {core::AvailabilityZoneId("a"), core::RegionId("r")}};
    settings.listen.callerPort = standins::freePort(daemonAddress);
    settings.listen.controlPort = standins::freePort(daemonAddress);
    settings.listen.maxBodyBytes = 1000;
    settings.listen.headerTimeout = core::Millis(200);
    settings.shutdown.entryHold = core::Seconds(0);
    return settings;
}

/** A running daemon in front of scripted upstreams. */
struct Fixture
{
    explicit Fixture(const std::vector<standins::RawServer::Handler> &handlers,
                     settings::Settings daemonSettings = makeSettings())
        : settings(std::move(daemonSettings))
        , daemon(settings)
    {
        for (const auto &handler : handlers) {
            const std::string number = std::to_string(upstreams.size() + 1);
            upstreams.push_back(
                std::make_unique<standins::RawServer>("127.0.6." + number, handler));
        }
        daemon.applyVmList(vmList());
        daemon.applyConfig(makeSnapshot(1));
        daemon.config().noteStoreContact(core::MonoClock::now());
    }

    core::VmList vmList() const
    {
        core::VmList list;
        for (const auto &upstream : upstreams)
            list.upstreams.push_back({.id = core::UpstreamId(upstream->address()),
                                      .service = core::ServiceId("slots"),
                                      .address = upstream->address(),
                                      .port = upstream->port()});
        const auto addEntry = [&list](const char *id, const char *zone, core::VmState state) {
            list.entryVms.push_back({.id = core::VmId(id),
                                     .location = {core::AvailabilityZoneId(zone), {}},
                                     .state = state});
        };
        addEntry("e1", "a", core::VmState::Live);
        addEntry("e2", "a", core::VmState::Live);
        addEntry("e3", "b", core::VmState::Live);
        addEntry("e4", "c", core::VmState::Leaving);
        return list;
    }

    http::Result call(const http::Request &request)
    {
        return client.send({daemonAddress, settings.listen.callerPort}, request, callTimeout);
    }

    /** @return A request with the key of the account "bakery". */
    static http::Request requestWithKey(const std::string &method = "POST",
                                        const std::string &body = "b")
    {
        return {.method = method,
                .target = "/slots/1?x=%20y",
                .headers = {{"Authorization", "Bearer key-1"}},
                .body = body};
    }

    /** Sends raw bytes to the caller port and reads until the daemon closes. */
    std::string sendRaw(const std::string &bytes)
    {
        const int fd = standins::connectTo(daemonAddress, settings.listen.callerPort);
        standins::sendAll(fd, bytes);
        std::string answer = standins::readAll(fd);
        ::close(fd);
        return answer;
    }

    /** Checks that the daemon answers a valid request with 200. */
    void checkStillServing()
    {
        const http::Result result = call(requestWithKey("GET", ""));
        CHECK(result.status == 200);
    }

    settings::Settings settings;
    std::vector<std::unique_ptr<standins::RawServer>> upstreams;
    daemon::Daemon daemon;
    http::Client client {{}};
};

/** Checks status, code, execution state and body of a refusal. */
inline void checkRefusal(const http::Result &result, table::Refusal refusal)
{
    const table::RefusalRow &row = table::refusalRow(refusal);
    CAPTURE(row.code);
    REQUIRE(result.progress == http::Progress::Answered);
    CHECK(result.status == row.status);
    const std::string *code = http::findHeader(result.headers, "X-Teaselreach-Error");
    const std::string *execution = http::findHeader(result.headers, "X-Teaselreach-Execution");
    REQUIRE(code != nullptr);
    REQUIRE(execution != nullptr);
    CHECK(*code == row.code);
    CHECK(*execution == table::executionName(row.execution));
    CHECK(nlohmann::json::parse(result.body)["error"]["code"] == std::string(row.code));
}

/** Handler of an upstream that answers every request with 200. */
inline standins::RawReply answerOk(const standins::RawRequest &)
{
    return {standins::okReply("ok")};
}

} // namespace teaselreach::tests
