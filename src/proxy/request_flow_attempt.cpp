/** @file request_flow_attempt.cpp Attempts and hedges at upstreams, and what follows from their
 * results. */
#include "core/log_func.h"
#include "proxy/request_flow_internal.h"

#include <algorithm>

namespace teaselreach::proxy {

using namespace detail;

namespace {

/** Keeps the time at which an upstream wants the caller back, if it states one. */
void copyRetryAfter(const HttpResponse &from, HttpResponse &to)
{
    if (from.count(beasthttp::field::retry_after) > 0)
        to.set(beasthttp::field::retry_after, from[beasthttp::field::retry_after]);
}

} // namespace

ExchangeOptions RequestFlow::exchangeOptions(Job &job, const Placement &placement,
                                             core::MonoTime now)
{
    return {.connectTimeout = options_.connectTimeout,
            .deadline = job.request.deadline,
            .softTimeout = dispatcher_.softTimeout(now, job.request, placement),
            .softTimeoutInterval = options_.dispatch.softTimeoutInterval,
            // During shutdown, attempts in progress are completed.
            .mayAbandon =
                [this, &job, upstream = placement.upstream] {
                    narrowRegions(job); // Those of the next attempt.
                    return phase_ == core::Phase::Serving
                        && dispatcher_.grantAbandon(core::MonoClock::now(), job.request, upstream);
                },
            .body = responseBody(job)};
}

AttemptPlan RequestFlow::planAttempt(Job &job, const Placement &placement, core::MonoTime now)
{
    const bool idempotent = job.request.route->idempotent;
    AttemptPlan plan {.target = {.address = placement.address, .port = placement.port},
                      .request = buildForwardRequest(job, placement, now),
                      .bodyOwner = &job.exchange->request.body(),
                      .options = exchangeOptions(job, placement, now),
                      .filter = {},
                      .maxIdle =
                          idempotent ? core::Micros::max() : options_.maxIdleForNonIdempotent,
                      .cancelOnCallerLeft = idempotent};
    plan.request.body() = std::move(*plan.bodyOwner);
    plan.request.prepare_payload();
    plan.filter = responseFilter(plan.request);
    job.request.retryGranted = false;
    if (placement.isTrial)
        logTrial(job, placement);
    return plan;
}

/** @return A filter that recognizes the response to a request by its attempt id. */
ResponseFilter RequestFlow::responseFilter(const HttpRequest &request) const
{
    return [this, attemptId = std::string(fieldValue(request, options_.names.attemptId))](
               const HttpResponse &response, bool reused) {
        return matchAttempt(response, options_.names, attemptId, reused);
    };
}

bool RequestFlow::mayReuseConnection(const ExchangeResult &result) const
{
    const AttemptEnd end = classifyExchange(result, options_.names);
    if (end == AttemptEnd::NotExecuted || end == AttemptEnd::Misdirected)
        // Written once more, a refusal without an id would refuse the next request.
        return !fieldValue(result.response, options_.names.attemptId).empty();
    return end != AttemptEnd::Broken;
}

/** @return The request for an upstream, with the time left until the deadline. */
HttpRequest RequestFlow::buildForwardRequest(const Job &job, const Placement &placement,
                                             core::MonoTime now) const
{
    /** Some upstreams treat a deadline of zero as no deadline. */
    constexpr core::Millis shortestDeadline {1};
    core::Micros timeLeft = job.request.deadline - now - options_.deadlineMargin;
    if (lastResponseAt_)
        timeLeft = std::min(timeLeft, *lastResponseAt_ - now - options_.leavingDeadlineMargin);
    return makeForwardRequest(job.exchange->request, options_.names,
                              {.account = job.request.account,
                               .upstream = placement.upstream,
                               .timeLeft = std::max(core::Micros(shortestDeadline), timeLeft)});
}

/** @return What the upstream says of itself; nothing if the response is not its own. */
UpstreamStatus RequestFlow::statusOf(const ExchangeResult &result, AttemptEnd end) const
{
    const bool isOwn = result.failure == ExchangeFailure::None && end != AttemptEnd::Broken
        && end != AttemptEnd::Misdirected;
    return isOwn && options_.readStatus ? options_.readStatus(result.response) : UpstreamStatus {};
}

bool RequestFlow::finishAttempt(Job &job, const Placement &placement, core::MonoTime startedAt,
                                ExchangeResult result)
{
    recordAttempt(job, placement, startedAt, result);
    return settleRequest(job, std::move(result));
}

/** Records the result of an attempt in the statistics, which may let waiting requests proceed. */
void RequestFlow::recordAttempt(Job &job, const Placement &placement, core::MonoTime startedAt,
                                const ExchangeResult &result)
{
    const core::MonoTime now = core::MonoClock::now();
    const AttemptEnd end = classifyExchange(result, options_.names);
    const AttemptRecord record {.upstream = placement.upstream,
                                .route = job.request.route->id,
                                .attempt = placement.attempt,
                                .end = end,
                                .startedAt = startedAt,
                                .endedAt = now,
                                .status = statusOf(result, end)};
    observeResponseSize(job, result);
    reportAttempt(job, placement, record, result);
    wakeWaiters(dispatcher_.attemptFinished(record, job.request));
}

/** Decides on a request by the result of its last attempt, or of the hedged attempt that counts.
 * Without another attempt, fills the response. @return Whether another attempt follows. */
bool RequestFlow::settleRequest(Job &job, ExchangeResult result)
{
    const core::MonoTime now = core::MonoClock::now();
    const AttemptEnd end = classifyExchange(result, options_.names);
    limitDeadline(job);
    if (!job.exchange->callerLeft && dispatcher_.grantRetry(now, job.request, end))
        return true;
    if (end == AttemptEnd::Answered || end == AttemptEnd::ServerError) {
        job.exchange->response = toCallerResponse(std::move(result.response), options_.names);
        job.outcome = attemptEndName(end);
        return false;
    }
    refuseAfterFailure(job, end);
    if (end == AttemptEnd::UnprovenRefusal)
        copyRetryAfter(result.response, job.exchange->response);
    return false;
}

core::Micros RequestFlow::hedgeDelay(const Job &job, core::MonoTime now)
{
    // During shutdown, attempts in progress are completed, and no others are added.
    return phase_ == core::Phase::Serving ? dispatcher_.hedgeDelay(now, job.request)
                                          : core::Micros(0);
}

HedgeDecision RequestFlow::grantHedge(Job &job, const Placement &first, core::MonoTime now)
{
    if (phase_ != core::Phase::Serving)
        return {.placement = std::nullopt, .denial = HedgeDenial::Leaving};
    narrowRegions(job);
    return dispatcher_.grantHedge(now, job.request, first);
}

/** Chooses the upstream of a hedge, unless a rule denies it. @param sent The request of the first
 * attempt. */
std::optional<Placement> RequestFlow::placeHedge(Job &job, const Placement &first,
                                                 core::MonoTime startedAt, const HttpRequest &sent)
{
    const core::MonoTime now = core::MonoClock::now();
    BodyReservation copy(options_.bodies, job.request.account);
    HedgeDecision decision {.placement = std::nullopt, .denial = HedgeDenial::NoMemory};
    if (copy.extendTo(sent.body().size() + expectedResponse(job)))
        decision = grantHedge(job, first, now);
    if (decision.placement)
        return std::move(decision.placement);
    const std::string_view reason = hedgeDenialName(*decision.denial);
    countHedge(job, "denied", reason);
    core::logEvent(core::LogLevel::Info, "hedge_denied",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"route", job.request.route->id.str()},
                    {"service", job.request.service.str()},
                    {"upstream", first.upstream.str()},
                    {"reason", reason},
                    {"elapsed_ms", toMillis(now - startedAt)}});
    return std::nullopt;
}

/** @return The plan of a hedge, with its own copy of the body of the first attempt's request. */
AttemptPlan RequestFlow::planHedge(Job &job, const Placement &placement, core::MonoTime now,
                                   const HttpRequest &sent) const
{
    AttemptPlan plan {.target = {.address = placement.address, .port = placement.port},
                      .request = buildForwardRequest(job, placement, now),
                      .options = {.connectTimeout = options_.connectTimeout,
                                  .deadline = job.request.deadline,
                                  .body = responseBody(job)},
                      .filter = {},
                      .cancelOnCallerLeft = true,
                      .bodyCopy = BodyReservation(options_.bodies, job.request.account)};
    plan.bodyCopy.extendTo(sent.body().size()); // placeHedge() has found room for it.
    plan.filter = responseFilter(sent);
    plan.request.body() = sent.body();
    plan.request.prepare_payload();
    return plan;
}

void RequestFlow::refuseAfterFailure(Job &job, AttemptEnd end)
{
    if (!job.exchange->evidence.mayHaveExecuted()) {
        refuse(job,
               {.status = beasthttp::status::service_unavailable,
                .code = attemptEndName(end),
                .retryAfter = busyRetryAfter(job)});
        return;
    }
    const bool late = end == AttemptEnd::TimedOut;
    const bool cutByShutdown = end == AttemptEnd::CallerLeft && !job.exchange->callerLeft;
    refuse(job,
           {.status = late ? beasthttp::status::gateway_timeout : beasthttp::status::bad_gateway,
            .code = cutByShutdown ? "shutdown_during_attempt" : attemptEndName(end)});
}

} // namespace teaselreach::proxy
