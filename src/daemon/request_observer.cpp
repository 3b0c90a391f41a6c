/** @file request_observer.cpp Logs and counts finished requests and keeps recent ones. */
#include "core/digest_func.h"
#include "core/log_func.h"
#include "daemon/request_observer_base.h"

#include <algorithm>

namespace teaselreach::daemon {

namespace {

constexpr int firstServerErrorStatus = 500;

/** Outcomes caused by the caller; they do not count against an objective. */
constexpr std::string_view callerCausedOutcomes[] = {
    "no_key",         "unknown_key",       "route_not_allowed", "unknown_route",
    "body_too_large", "malformed_request", "rate_limited",      callerLeftOutcome};

bool causedByCaller(const RequestSummary &request)
{
    return std::find(std::begin(callerCausedOutcomes), std::end(callerCausedOutcomes),
                     request.outcome)
        != std::end(callerCausedOutcomes);
}

} // namespace

void RequestObserver::recordRequest(const RequestSummary &request)
{
    const core::MonoTime now = core::MonoClock::now();
    std::vector<core::LogField> fields {{"request_id", request.id.str()},
                                        {"account", request.account.str()},
                                        {"route", request.route.str()},
                                        {"upstream", request.upstream.str()},
                                        {"attempts", std::int64_t {request.attempts}},
                                        {"status", std::int64_t {request.status}},
                                        {"outcome", request.outcome},
                                        {"reason", request.reason},
                                        {"duration_us", std::int64_t {request.duration.count()}},
                                        {"proof", proxy::executionProofName(request.proof)}};
    if (!request.hedge.empty())
        fields.emplace_back("hedge", request.hedge);
    core::logEvent(core::LogLevel::Info, "request_done", fields);
    registry_.countRequest(
        {.service = request.service, .account = request.account, .outcome = request.outcome},
        request.duration, now);
    countForObjectives(request, now);

    Shard &shard = shardOf(request.id);
    const std::lock_guard lock(shard.mutex);
    shard.recent.push_front(request);
    if (shard.recent.size() > recentPerShard)
        shard.recent.pop_back();
}

void RequestObserver::countForObjectives(const RequestSummary &request, core::MonoTime now)
{
    if (request.service.empty() || causedByCaller(request))
        return;
    const bool answered =
        request.outcome == answeredOutcome && request.status < firstServerErrorStatus;
    burn_.countRequest({.service = request.service,
                        .account = request.account,
                        .answered = answered,
                        .duration = request.duration},
                       now);
}

std::optional<RequestSummary> RequestObserver::find(const core::RequestId &id) const
{
    const Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    for (const RequestSummary &request : shard.recent) {
        if (request.id == id)
            return request;
    }
    return std::nullopt;
}

std::vector<RequestSummary>
RequestObserver::unansweredRequestsOf(const core::ClientAccountId &account) const
{
    std::vector<RequestSummary> refusals;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        for (const RequestSummary &request : shard.recent) {
            if (request.account != account || request.outcome == answeredOutcome)
                continue;
            refusals.push_back(request);
        }
    }
    return refusals;
}

RequestObserver::Shard &RequestObserver::shardOf(const core::RequestId &id)
{
    return shards_[core::stableHash(id.str()) % shardCount];
}

const RequestObserver::Shard &RequestObserver::shardOf(const core::RequestId &id) const
{
    return shards_[core::stableHash(id.str()) % shardCount];
}

} // namespace teaselreach::daemon
