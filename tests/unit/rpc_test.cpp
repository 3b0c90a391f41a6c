/** @file rpc_test.cpp Tests of JSON-RPC calls over the HTTP server and client of the daemon. */
#include "http/headers_func.h"
#include "http/server_base.h"
#include "rpc/handler_table_base.h"
#include "rpc/http_transport_base.h"
#include "standins/free_port.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teaselreach;

namespace {

constexpr core::Millis timeout {2000};

rpc::HandlerTable makeTable()
{
    rpc::HandlerTable table;
    table.add("add", [](const nlohmann::json &params) {
        return nlohmann::json(params.at("a").get<int>() + params.at("b").get<int>());
    });
    table.add("refuse", [](const nlohmann::json &) -> nlohmann::json {
        throw core::Error("conflict", "revision 7 is newer");
    });
    return table;
}

/** An HTTP server that passes the body of every request to a handler table. */
struct RpcServer
{
    rpc::HandlerTable table = makeTable();
    rpc::Endpoint endpoint {"127.0.4.1", standins::freePort("127.0.4.1")};
    http::Server server {
        {.address = endpoint.address, .port = endpoint.controlPort},
        {.onRequest =
             [this](const http::ServerRequest &request) {
                 const std::string *type = http::findHeader(request.headers, "Content-Type");
                 const rpc::Encoding encoding =
                     rpc::encodingFromContentType(type == nullptr ? "" : *type);
                 return http::ServerResponse {
                     .headers = {{"Content-Type", std::string(rpc::contentType(encoding))}},
                     .body = table.handleBody(request.body, encoding)};
             },
         .onFault = [](http::ReceiveError) { return http::ServerResponse {.status = 400}; }}};
};

int errorNumber(const nlohmann::json &response)
{
    return response.at("error").at("code").get<int>();
}

} // namespace

TEST_CASE("calls succeed and errors keep their code in both encodings")
{
    RpcServer server;
    for (const rpc::Encoding encoding : {rpc::Encoding::MessagePack, rpc::Encoding::Json}) {
        rpc::HttpTransport transport({}, encoding);
        CHECK(transport.call(server.endpoint, "add", {{"a", 2}, {"b", 3}}, timeout) == 5);
        try {
            transport.call(server.endpoint, "refuse", nlohmann::json::object(), timeout);
            FAIL_CHECK("the call did not throw");
        } catch (const rpc::RpcErrorResponse &error) {
            CHECK(error.code() == "conflict");
        }
        CHECK_THROWS_AS(transport.call(server.endpoint, "none", nullptr, timeout),
                        rpc::RpcErrorResponse);
    }
    rpc::HttpTransport transport({});
    const rpc::Endpoint unusedEndpoint {"127.0.4.1", standins::freePort("127.0.4.1")};
    CHECK_THROWS_AS(transport.call(unusedEndpoint, "add", {}, timeout), rpc::RpcNoResponse);
}

TEST_CASE("invalid requests are answered with JSON-RPC error codes, never with an exception")
{
    const rpc::HandlerTable table = makeTable();
    using nlohmann::json;
    for (const json &bad : {json(1), json::array(), json::object(), json {{"method", "add"}},
                            json {{"jsonrpc", "2.0"}, {"method", 3}, {"id", 1}},
                            json {{"jsonrpc", "2.0"}, {"method", "add"}, {"params", 1}}})
        CHECK(errorNumber(table.handle(bad)) == -32600);
    CHECK(errorNumber(table.handle(rpc::makeRequest("none", json::object(), 1))) == -32601);
    CHECK(errorNumber(table.handle(rpc::makeRequest("add", {{"a", "x"}}, 1))) == -32602);
    CHECK(errorNumber(json::parse(table.handleBody("{", rpc::Encoding::Json))) == -32700);
    CHECK(errorNumber(json::from_msgpack(table.handleBody("\xc1", rpc::Encoding::MessagePack)))
          == -32700);
    const json notification = {{"jsonrpc", "2.0"}, {"method", "add"}};
    CHECK(table.handleBody(notification.dump(), rpc::Encoding::Json).empty());
}
