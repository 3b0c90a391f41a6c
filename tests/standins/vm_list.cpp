/** @file vm_list.cpp Stand-in for the platform's VM list. */
#include "standins/vm_list_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::standins {

namespace {

using nlohmann::json;

constexpr std::size_t maxHistory = 1000;

} // namespace

VmListServer::VmListServer(const ListenOptions &listen)
    : server_(listen, [this](const Request &request) { return handle(request); })
{ }

void VmListServer::setVms(const std::string &document)
{
    const std::string text = json {{"vms", json::parse(document).at("vms")}}.dump();
    const std::lock_guard lock(mutex_);
    history_.push_back({.since = Clock::now(), .document = text});
    if (history_.size() > maxHistory)
        history_.pop_front();
}

void VmListServer::setFaults(const VmListFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

Answer VmListServer::handle(const Request &request)
{
    if (request.path == "/vms" && request.method == "GET")
        return visible();
    if (request.path == "/admin/vms" && request.method == "PUT") {
        setVms(request.body);
        return {};
    }
    if (request.path == "/admin/faults" && request.method == "POST") {
        const json document = json::parse(request.body);
        setFaults({.outage = document.value("outage", false),
                   .lag = std::chrono::milliseconds(document.value("lag_ms", 0))});
        return jsonAnswer(200, document);
    }
    return {.status = 404};
}

Answer VmListServer::visible() const
{
    const std::lock_guard lock(mutex_);
    if (faults_.outage)
        return {.status = 503};
    std::string document = R"({"vms":[]})";
    const auto shownUntil = Clock::now() - faults_.lag;
    for (const Published &published : history_) {
        if (published.since > shownUntil && &published != &history_.front())
            break;
        document = published.document;
    }
    return {.body = document, .headers = {{"Content-Type", "application/json"}}};
}

} // namespace teaselreach::standins
