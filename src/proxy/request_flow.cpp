/** @file request_flow.cpp The path of a request from its arrival to its answer. */
#include "core/log_func.h"
#include "proxy/request_flow_base.h"

#include <algorithm>
#include <cstdio>

namespace teaselreach::proxy {

namespace {

/** Retry-After of a refusal for want of room: a few work times, by when room is likely. */
constexpr core::Millis busyRetryAfter {400};
/** Retry-After of a VM that has no configuration or is shutting down: others serve at once. */
constexpr core::Millis elsewhereRetryAfter {100};

std::string formatSeconds(core::Micros time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

std::int64_t toMillis(core::Micros time)
{
    return std::chrono::duration_cast<core::Millis>(time).count();
}

std::string toString(std::string_view view)
{
    return std::string(view);
}

} // namespace

/** One request on its way. */
struct RequestFlow::Job
{
    std::shared_ptr<CallerExchange> exchange;
    std::shared_ptr<const RouteTable> table; ///< Keeps route and account alive.
    const Account *account = nullptr;
    DispatchRequest request; ///< Without a route as long as none was found.
    core::Micros waited {0};
    std::string outcome = "answered";
};

/** A request that waits for an upstream. */
struct RequestFlow::Waiter
{
    explicit Waiter(asio::io_context &context)
        : wake(context, asio::steady_timer::time_point::max())
    { }
    asio::steady_timer wake;
    std::optional<PlacementResult> result;
};

/** An answer of the proxy's own. */
struct RequestFlow::Refusal
{
    beasthttp::status status;
    std::string_view code; ///< For logs and metrics.
    std::optional<core::Micros> retryAfter;
};

RequestFlow::RequestFlow(Parts parts, RequestFlowOptions options, std::uint64_t seed)
    : parts_(parts)
    , options_(std::move(options))
    , dispatcher_(parts.upstreams, options_.dispatch)
    , loop_(parts.context, *this)
    , splits_(seed)
{ }

asio::awaitable<void> RequestFlow::serve(std::shared_ptr<CallerExchange> exchange)
{
    return loop_.serve(std::move(exchange));
}

RequestFlow::Job RequestFlow::createJob(const std::shared_ptr<CallerExchange> &exchange) const
{
    return {.exchange = exchange, .table = table_};
}

/** Finds route, account and deadline. @return Whether the request may be sent. */
asio::awaitable<bool> RequestFlow::admit(Job &job)
{
    if (!findRoute(job) || !findAccount(job) || !checkLimit(job))
        co_return false;
    const CallerExchange &exchange = *job.exchange;
    const core::MonoTime now = exchange.receivedAt;
    const auto patience = callerTimeout(exchange.request, options_.names);
    const Route &route = *job.request.route;
    job.request.arrivedAt = now;
    job.request.deadline = now + std::min(patience.value_or(route.timeout), route.timeout);
    if (job.account != nullptr) {
        job.request.account = job.account->id;
        job.request.accountPriority = job.account->priority;
    }
    job.request.service = splits_.select(route);
    dispatcher_.requestArrived(now, job.request.service);
    co_return true;
}

/** @return Whether the request is within its account's limit; it is refused if not. */
bool RequestFlow::checkLimit(Job &job)
{
    const core::MonoTime now = job.exchange->receivedAt;
    if (job.account == nullptr || parts_.shares.admit(now, *job.account))
        return true;
    refuse(job,
           {.status = beasthttp::status::too_many_requests,
            .code = "rate_limited",
            .retryAfter = parts_.shares.timeUntilAdmission(now, *job.account)});
    return false;
}

/** @return Whether the request has a route; it is refused if not. */
bool RequestFlow::findRoute(Job &job)
{
    if (!job.table || phase_ == core::Phase::Refusing) {
        refuse(job,
               {.status = beasthttp::status::service_unavailable,
                .code = job.table ? "shutting_down" : "no_configuration",
                .retryAfter = elsewhereRetryAfter});
        return false;
    }
    const HttpRequest &request = job.exchange->request;
    const auto host = request[beasthttp::field::host];
    const auto target = request.target();
    if (host.empty() || target.empty() || target.front() != '/') {
        refuse(job, {.status = beasthttp::status::bad_request, .code = "malformed_request"});
        return false;
    }
    job.request.route =
        job.table->findRoute({host.data(), host.size()}, {target.data(), target.size()});
    if (job.request.route == nullptr) {
        refuse(job, {.status = beasthttp::status::not_found, .code = "unknown_route"});
        return false;
    }
    return true;
}

/** @return Whether the request may use its route; it is refused if its key is not known. */
bool RequestFlow::findAccount(Job &job)
{
    const auto key = apiKeyOf(job.exchange->request, options_.names);
    job.account = key ? job.table->findAccount(*key) : nullptr;
    const bool needsKey =
        !job.request.route->isPublic && !job.table->configuration().accounts.empty();
    if (needsKey && job.account == nullptr) {
        refuse(job, {.status = beasthttp::status::unauthorized, .code = "unknown_key"});
        return false;
    }
    return true;
}

asio::awaitable<std::optional<Placement>> RequestFlow::place(Job &job)
{
    PlacementResult result = co_await choosePlacement(job);
    if (!result.placement)
        refuseUnplaced(job, result.reason);
    co_return std::move(result.placement);
}

/** Chooses an upstream; waits if all are busy. */
asio::awaitable<PlacementResult> RequestFlow::choosePlacement(Job &job)
{
    const core::MonoTime now = core::MonoClock::now();
    DispatchResult result = dispatcher_.submit(now, job.request);
    if (result.placement)
        co_return PlacementResult {.placement = std::move(result.placement)};
    if (result.refusal)
        co_return PlacementResult {.placement = std::nullopt, .reason = *result.refusal};
    co_return co_await waitForPlacement(job, *result.wait, now);
}

/** Waits until the dispatcher has decided, or the caller has left. */
asio::awaitable<PlacementResult> RequestFlow::waitForPlacement(Job &job, WaitTicket ticket,
                                                               core::MonoTime now)
{
    const auto waiter = std::make_shared<Waiter>(parts_.context);
    waiters_.emplace(ticket, waiter);
    job.exchange->onCallerLeft = [waiter] { waiter->wake.cancel(); };
    ErrorCode cancelled; // The timer only ever ends by being cancelled.
    co_await waiter->wake.async_wait(captureError(cancelled));
    job.exchange->onCallerLeft = nullptr;
    job.waited += core::MonoClock::now() - now;
    waiters_.erase(ticket);
    if (waiter->result)
        co_return *waiter->result;
    dispatcher_.withdraw(job.request.service, ticket);
    co_return PlacementResult {.placement = std::nullopt, .reason = PlacementFailure::TooLate};
}

void RequestFlow::wakeWaiters(std::vector<DispatchDecision> decided)
{
    for (DispatchDecision &decision : decided) {
        const std::shared_ptr<Waiter> &waiter = waiters_.at(decision.ticket);
        waiter->result = std::move(decision.result);
        waiter->wake.cancel();
    }
}

void RequestFlow::dispatchWaiting(core::MonoTime now)
{
    wakeWaiters(dispatcher_.dispatchWaiting(now));
}

ExchangeOptions RequestFlow::exchangeOptions(Job &job, const Placement &placement,
                                             core::MonoTime now)
{
    return {.connectTimeout = options_.connectTimeout,
            .deadline = job.request.deadline,
            .softTimeout = dispatcher_.softTimeout(now, job.request, placement),
            .softTimeoutInterval = options_.dispatch.softTimeoutInterval,
            // A VM that shuts down finishes what is at work.
            .mayAbandon = [this, &job, upstream = placement.upstream] {
                return phase_ == core::Phase::Serving
                    && dispatcher_.grantAbandon(core::MonoClock::now(), job.request, upstream);
            }};
}

AttemptPlan RequestFlow::planAttempt(Job &job, const Placement &placement, core::MonoTime now)
{
    const bool idempotent = job.request.route->idempotent;
    AttemptPlan plan {.target = {.address = placement.address, .port = placement.port},
                      .request = buildForwardRequest(job, placement, now),
                      .options = exchangeOptions(job, placement, now),
                      .filter = {},
                      .maxIdle =
                          idempotent ? core::Micros::max() : options_.maxIdleForNonIdempotent,
                      .cancelOnCallerLeft = idempotent};
    plan.filter = [this, attemptId = toString(fieldValue(plan.request, options_.names.attemptId))](
                      const HttpResponse &response) {
        return matchesAttempt(response, options_.names, attemptId);
    };
    job.request.retryGranted = false;
    return plan;
}

bool RequestFlow::mayReuseConnection(const ExchangeResult &result) const
{
    return classifyExchange(result, options_.names).end != AttemptEnd::Broken;
}

/** @return What is sent to an upstream for a request. */
HttpRequest RequestFlow::buildForwardRequest(const Job &job, const Placement &placement,
                                             core::MonoTime now) const
{
    /** A deadline of nothing would be no deadline to some upstreams. */
    constexpr core::Millis shortestDeadline {1};
    const core::Micros timeLeft = job.request.deadline - now - options_.deadlineMargin;
    return makeForwardRequest(job.exchange->request, options_.names,
                              {.account = job.request.account,
                               .upstream = placement.upstream,
                               .timeLeft = std::max(core::Micros(shortestDeadline), timeLeft)});
}

/** Learns from an attempt and answers the caller. @return Whether another attempt is to follow. */
bool RequestFlow::finishAttempt(Job &job, const Placement &placement, core::MonoTime startedAt,
                                ExchangeResult result)
{
    const core::MonoTime now = core::MonoClock::now();
    const AttemptOutcome answer = classifyExchange(result, options_.names);
    const AttemptRecord record {.upstream = placement.upstream,
                                .route = job.request.route->id,
                                .attempt = placement.attempt,
                                .end = answer.end,
                                .startedAt = startedAt,
                                .endedAt = now,
                                .load = answer.load};
    reportAttempt(job, placement, record, result);
    wakeWaiters(dispatcher_.attemptFinished(record, job.request));
    if (!job.exchange->callerLeft && dispatcher_.grantRetry(now, job.request, answer.end))
        return true;
    if (answer.end == AttemptEnd::Answered || answer.end == AttemptEnd::ServerError) {
        job.exchange->response = toCallerResponse(std::move(result.response), options_.names);
        job.outcome = attemptEndName(answer.end);
        return false;
    }
    refuseAfterFailure(job, answer.end);
    return false;
}

void RequestFlow::refuse(Job &job, const Refusal &refusal)
{
    HttpResponse response(refusal.status, httpVersion11);
    if (refusal.retryAfter)
        response.set(beasthttp::field::retry_after, formatSeconds(*refusal.retryAfter));
    const std::string_view id = fieldValue(job.exchange->request, options_.names.attemptId);
    if (!id.empty())
        response.set(options_.names.attemptId, toString(id));
    response.prepare_payload();
    job.exchange->response = std::move(response);
    job.outcome = refusal.code;
}

void RequestFlow::refuseUnplaced(Job &job, PlacementFailure reason)
{
    if (job.request.mayHaveExecuted) {
        refuse(job, {.status = beasthttp::status::bad_gateway, .code = "upstream_failed"});
        return;
    }
    if (job.account != nullptr && job.request.sent == 0)
        parts_.shares.refund(*job.account);
    const std::string_view code = reason == PlacementFailure::NoUpstream ? "no_upstream"
        : reason == PlacementFailure::AllBusy                            ? "all_upstreams_busy"
                                                                         : "deadline_too_close";
    refuse(job,
           {.status = beasthttp::status::service_unavailable,
            .code = code,
            .retryAfter = busyRetryAfter});
}

void RequestFlow::refuseAfterFailure(Job &job, AttemptEnd end)
{
    if (!job.request.mayHaveExecuted) {
        refuse(job,
               {.status = beasthttp::status::service_unavailable,
                .code = attemptEndName(end),
                .retryAfter = busyRetryAfter});
        return;
    }
    const bool late = end == AttemptEnd::TimedOut;
    refuse(job,
           {.status = late ? beasthttp::status::gateway_timeout : beasthttp::status::bad_gateway,
            .code = attemptEndName(end)});
}

void RequestFlow::reportAttempt(const Job &job, const Placement &placement,
                                const AttemptRecord &record, const ExchangeResult &result)
{
    parts_.registry.addCounter(
        "teaselreach_attempts_total",
        {{"service", job.request.service.str()}, {"end", toString(attemptEndName(record.end))}}, 1);
    if (record.end == AttemptEnd::Answered)
        return;
    core::logEvent(core::LogLevel::Info, "attempt_failed",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"service", job.request.service.str()},
                    {"upstream", placement.upstream.str()},
                    {"end", attemptEndName(record.end)},
                    {"detail", result.detail},
                    {"reused", result.reused ? 1 : 0},
                    {"status",
                     result.failure == ExchangeFailure::None
                         ? static_cast<std::int64_t>(result.response.result_int())
                         : 0},
                    {"expected_ms", toMillis(placement.expectedDuration)},
                    {"failure_pct", static_cast<std::int64_t>(100 * placement.failureEstimate)},
                    {"duration_ms", toMillis(record.endedAt - record.startedAt)}});
}

void RequestFlow::finishRequest(const Job &job)
{
    const core::MonoTime now = core::MonoClock::now();
    const core::Micros duration = now - job.exchange->receivedAt;
    const std::string route = job.request.route == nullptr ? "" : job.request.route->id.str();
    const std::string account = job.account == nullptr ? "" : job.account->id.str();
    const std::string outcome = job.exchange->callerLeft ? "caller_left" : job.outcome;
    parts_.registry.countRequest({.service = job.request.service,
                                  .account = core::ClientAccountId(account),
                                  .outcome = outcome},
                                 duration, now);
    core::logEvent(
        core::LogLevel::Info, "request_done",
        {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
         {"route", route},
         {"account", account},
         {"service", job.request.service.str()},
         {"upstream", job.request.tried.empty() ? std::string() : job.request.tried.back().str()},
         {"sent", job.request.sent},
         {"connect_failures", job.request.connectFailures},
         {"status", static_cast<std::int64_t>(job.exchange->response.result_int())},
         {"outcome", outcome},
         {"config_version", job.table ? job.table->configuration().version.count() : 0},
         {"limit_part_pct", static_cast<std::int64_t>(100 * parts_.shares.effectiveShare())},
         {"waited_ms", toMillis(job.waited)},
         {"duration_ms", toMillis(duration)}});
}

} // namespace teaselreach::proxy
