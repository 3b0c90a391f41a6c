/** @file control.cpp Handles requests to the control server: /rpc, /metrics and /health. */
#include "daemon/control_base.h"
#include "http/headers_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

namespace {

constexpr int noContentStatus = 204;
constexpr int notFoundStatus = 404;

std::string phaseName(core::Phase phase)
{
    switch (phase) {
    case core::Phase::Serving:
        return "serving";
    case core::Phase::Leaving:
        return "leaving";
    case core::Phase::Refusing:
        return "refusing";
    }
    return "refusing";
}

} // namespace

http::ServerResponse ControlHandler::handle(const http::ServerRequest &request) const
{
    if (request.method == "POST" && request.path == "/rpc")
        return answerRpc(request);
    if (request.method == "GET" && request.path == "/metrics")
        return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                .body = parts_.observer.registry().prometheusText(core::MonoClock::now())};
    if (request.method == "GET" && request.path == "/health")
        return answerHealth();
    return {.status = notFoundStatus};
}

http::ServerResponse ControlHandler::answerRpc(const http::ServerRequest &request) const
{
    const std::string *type = http::findHeader(request.headers, "Content-Type");
    const rpc::Encoding encoding = rpc::encodingFromContentType(type == nullptr ? "" : *type);
    std::string body = parts_.handlers.handleBody(request.body, encoding);
    if (body.empty())
        return {.status = noContentStatus};
    return {.headers = {{"Content-Type", std::string(rpc::contentType(encoding))}},
            .body = std::move(body)};
}

http::ServerResponse ControlHandler::answerHealth() const
{
    const auto snapshot = parts_.config.current();
    const nlohmann::json body = {{"vm", parts_.settings.vm.id.str()},
                                 {"state", phaseName(parts_.lifecycle.phase())},
                                 {"revision", snapshot ? snapshot->revision().count() : 0}};
    return {.headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

} // namespace teaselreach::daemon
