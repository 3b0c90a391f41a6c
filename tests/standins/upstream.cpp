/** @file upstream.cpp Stand-in for one upstream of a service. */
#include "standins/upstream_base.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselreach::standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// How soon a waiting request notices that its caller has closed the connection.
constexpr milliseconds cancellationInterval {5};
// Longest wait for a slot if the request has no deadline.
constexpr std::int64_t maxWaitMs = 60'000;
constexpr std::size_t maxLogEntries = 500'000;

std::string headerOf(const Request &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
}

bool eachNth(int n, std::uint64_t sequence)
{
    return n > 0 && sequence % static_cast<std::uint64_t>(n) == 0;
}

json toJson(const Execution &execution)
{
    return {{"request_id", execution.requestId},
            {"account", execution.account},
            {"method", execution.method},
            {"path", execution.path}};
}

UpstreamFaults parseFaults(const json &document)
{
    return {.stall = document.value("stall", false),
            .drain = document.value("drain", false),
            .shed = document.value("shed", false),
            .unhealthy = document.value("unhealthy", false),
            .slowFactor = document.value("slow_factor", 1.0),
            .errorEvery = document.value("error_every", 0),
            .truncateEvery = document.value("truncate_every", 0)};
}

} // namespace

Upstream::Upstream(const ListenOptions &listen, UpstreamOptions options)
    : options_(std::move(options))
    , server_(listen, [this](const Request &request) { return handle(request); })
{ }

Upstream::~Upstream()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

void Upstream::setFaults(const UpstreamFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    changed_.notify_all();
}

std::vector<Execution> Upstream::executions() const
{
    const std::lock_guard lock(mutex_);
    return log_;
}

std::uint64_t Upstream::executionsOf(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    const auto found = countByRequest_.find(requestId);
    return found == countByRequest_.end() ? 0 : found->second;
}

Answer Upstream::handle(const Request &request)
{
    if (request.path.starts_with("/admin/"))
        return handleAdmin(request);
    if (request.method == "GET" && request.path == "/health")
        return probe();
    if (request.method == "GET" && request.path == "/load")
        return load();
    return serve(request);
}

Answer Upstream::handleAdmin(const Request &request)
{
    if (request.path == "/admin/faults" && request.method == "POST") {
        const json document = json::parse(request.body);
        setFaults(parseFaults(document));
        return jsonAnswer(200, document);
    }
    if (request.path != "/admin/executions" || request.method != "GET")
        return {.status = 404};
    const auto wanted = request.query.find("request_id");
    if (wanted != request.query.end())
        return jsonAnswer(200, {{"count", executionsOf(wanted->second)}});
    const std::lock_guard lock(mutex_);
    json log = json::array();
    for (const Execution &execution : log_)
        log.push_back(toJson(execution));
    return jsonAnswer(200,
                      {{"count", log_.size()}, {"by_request_id", countByRequest_}, {"log", log}});
}

Answer Upstream::probe()
{
    std::unique_lock lock(mutex_);
    const bool holdsSlot = busy_ < options_.slots;
    if (holdsSlot)
        ++busy_;
    changed_.wait_for(lock, options_.probeTime, [&] { return stopping_; });
    if (holdsSlot)
        freeSlot();
    Answer answer = jsonAnswer(faults_.unhealthy ? 503 : 200, {{"healthy", !faults_.unhealthy}});
    addLoadHeaders(answer);
    return answer;
}

Answer Upstream::load() const
{
    const std::lock_guard lock(mutex_);
    return jsonAnswer(200,
                      {{"busy", busy_}, {"slots", options_.slots}, {"draining", faults_.drain}});
}

Answer Upstream::serve(const Request &request)
{
    std::unique_lock lock(mutex_);
    if (faults_.drain)
        return refuse("draining");
    if (faults_.shed || waiting_ >= options_.maxWaiting)
        return refuse("shedding load");
    if (!takeSlot(lock, request))
        return refuse("no slot within the deadline");
    const std::uint64_t sequence = record(request);
    work(lock, request);
    freeSlot();
    return respond(request, sequence);
}

bool Upstream::takeSlot(std::unique_lock<std::mutex> &lock, const Request &request)
{
    const std::string deadline = headerOf(request, "x-deadline-ms");
    const auto end =
        Clock::now() + milliseconds(deadline.empty() ? maxWaitMs : std::stoll(deadline));
    ++waiting_;
    bool abandoned = false;
    while (busy_ >= options_.slots && !abandoned) {
        changed_.wait_for(lock, cancellationInterval);
        abandoned = stopping_ || Clock::now() >= end || request.callerGone();
    }
    --waiting_;
    if (abandoned)
        return false;
    ++busy_;
    return true;
}

std::uint64_t Upstream::record(const Request &request)
{
    const Execution execution {.requestId = headerOf(request, "x-teaselreach-request-id"),
                               .account = headerOf(request, "x-teaselreach-account"),
                               .method = request.method,
                               .path = request.path};
    ++countByRequest_[execution.requestId];
    if (log_.size() < maxLogEntries)
        log_.push_back(execution);
    return log_.size();
}

void Upstream::work(std::unique_lock<std::mutex> &lock, const Request &request)
{
    const auto start = Clock::now();
    const bool cold = start - started_ < options_.coldStart;
    const auto duration = options_.serviceTime * (cold ? options_.coldFactor : 1.0);
    while (!stopping_ && !request.callerGone()) {
        const auto end =
            start + std::chrono::duration_cast<Clock::duration>(duration * faults_.slowFactor);
        const auto now = Clock::now();
        if (!faults_.stall && now >= end)
            return;
        const auto nextCheck = now + cancellationInterval;
        changed_.wait_until(lock, faults_.stall ? nextCheck : std::min(end, nextCheck));
    }
}

void Upstream::freeSlot()
{
    --busy_;
    changed_.notify_all();
}

Answer Upstream::refuse(const std::string &reason) const
{
    Answer answer = jsonAnswer(503, {{"upstream", options_.name}, {"error", reason}});
    answer.headers["X-Not-Run"] = "1";
    addLoadHeaders(answer);
    return answer;
}

Answer Upstream::respond(const Request &request, std::uint64_t sequence) const
{
    Answer answer = jsonAnswer(200,
                               {{"upstream", options_.name},
                                {"method", request.method},
                                {"path", request.path},
                                {"query", request.query},
                                {"headers", request.headers},
                                {"body", request.body}});
    if (eachNth(faults_.errorEvery, sequence))
        answer.status = 500;
    if (eachNth(faults_.truncateEvery, sequence))
        answer.cutAfter = answer.body.size() / 2;
    addLoadHeaders(answer);
    return answer;
}

void Upstream::addLoadHeaders(Answer &answer) const
{
    answer.headers["X-Load-Busy"] = std::to_string(busy_);
    answer.headers["X-Load-Slots"] = std::to_string(options_.slots);
    if (faults_.drain)
        answer.headers["X-Draining"] = "1";
}

} // namespace teaselreach::standins
