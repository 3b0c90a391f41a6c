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

std::string secondsText(core::Micros time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

std::int64_t millis(core::Micros time)
{
    return std::chrono::duration_cast<core::Millis>(time).count();
}

std::string text(std::string_view view)
{
    return std::string(view);
}

} // namespace

/** One request on its way. */
struct RequestFlow::Job
{
    std::shared_ptr<CallerExchange> exchange;
    std::shared_ptr<const RouteTable> table; ///< Keeps route and account alive.
    const Route *route = nullptr;
    const Account *account = nullptr;
    core::ServiceId service;
    core::MonoTime deadline {};
    std::vector<core::UpstreamId> tried;
    int sent = 0; ///< Attempts that may have reached an upstream.
    int connectFailures = 0;
    bool mayHaveRun = false;
    bool repeatGranted = false; ///< By the soft timeout of the present attempt.
    core::Micros waited {0};
    std::string outcome = "answered";
};

/** A request that waits for an upstream. */
struct RequestFlow::Waiter
{
    explicit Waiter(asio::io_context &context)
        : wake(context, asio::steady_timer::time_point::max())
    { }
    WaitTicket ticket;
    PlacementRequest request;
    core::MonoTime arrivedAt {};
    core::MonoTime deadline {};
    asio::steady_timer wake;
    std::optional<PlacementResult> result;
};

/** The waiting requests of one service. */
struct RequestFlow::ServiceQueue
{
    WaitQueue order {WaitQueueOptions {}};
    std::map<WaitTicket, std::shared_ptr<Waiter>> waiters;
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
    , links_(parts.context)
    , splits_(seed)
{ }

asio::awaitable<void> RequestFlow::serve(std::shared_ptr<CallerExchange> exchange)
{
    Job job {.exchange = exchange, .table = table_};
    if (prepare(job)) {
        retriesOf(job.service).requestStarted(exchange->receivedAt);
        bool again = true;
        while (again) {
            const PlacementResult result = co_await place(job);
            if (!result.placement) {
                refuseUnplaced(job, result.reason);
                break;
            }
            again = co_await attempt(job, *result.placement);
        }
    }
    exchange->onCallerLeft = nullptr;
    report(job);
}

/** Finds route, account and deadline. @return Whether the request may be sent. */
bool RequestFlow::prepare(Job &job)
{
    if (!findRoute(job) || !findAccount(job))
        return false;
    const CallerExchange &exchange = *job.exchange;
    const core::MonoTime now = exchange.receivedAt;
    const auto patience = callerDeadline(exchange.request, options_.names);
    job.deadline = now + std::min(patience.value_or(job.route->timeout), job.route->timeout);
    if (job.account != nullptr && !parts_.shares.admit(now, *job.account)) {
        refuse(job,
               {.status = beasthttp::status::too_many_requests,
                .code = "rate_limited",
                .retryAfter = parts_.shares.timeToRoom(now, *job.account)});
        return false;
    }
    job.service = splits_.select(*job.route);
    return true;
}

/** @return Whether the request has a route; it is refused if not. */
bool RequestFlow::findRoute(Job &job)
{
    if (!job.table || phase_ == FlowPhase::Refusing) {
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
    job.route = job.table->findRoute({host.data(), host.size()}, {target.data(), target.size()});
    if (job.route == nullptr) {
        refuse(job, {.status = beasthttp::status::not_found, .code = "unknown_route"});
        return false;
    }
    return true;
}

/** @return Whether the request may use its route; it is refused if its key is not known. */
bool RequestFlow::findAccount(Job &job)
{
    const auto key = keyOf(job.exchange->request, options_.names);
    job.account = key ? job.table->findAccount(*key) : nullptr;
    const bool needsKey = !job.route->isPublic && !job.table->configuration().accounts.empty();
    if (needsKey && job.account == nullptr) {
        refuse(job, {.status = beasthttp::status::unauthorized, .code = "unknown_key"});
        return false;
    }
    return true;
}

PlacementRequest RequestFlow::placementRequest(const Job &job, core::MonoTime now) const
{
    return {.service = job.service,
            .route = job.route->id,
            .idempotent = job.route->idempotent && job.sent + 1 < job.route->maxAttempts,
            .targetLatency = job.route->targetLatency,
            .elapsed = now - job.exchange->receivedAt,
            .timeLeft = job.deadline - now,
            .tried = job.tried};
}

/** Chooses an upstream and records the start of the attempt; waits if all are busy. */
asio::awaitable<PlacementResult> RequestFlow::place(Job &job)
{
    const std::shared_ptr<ServiceQueue> queue = queueOf(job.service);
    const core::MonoTime now = core::MonoClock::now();
    if (queue->order.size() == 0) {
        PlacementResult result = parts_.upstreams.choose(now, placementRequest(job, now));
        if (result.placement) {
            parts_.upstreams.started(now, *result.placement);
            co_return result;
        }
        if (result.reason != NoPlacement::AllBusy)
            co_return result;
    }
    const std::shared_ptr<Waiter> waiter = enqueue(job, *queue, now);
    if (!waiter)
        co_return PlacementResult {.placement = std::nullopt, .reason = NoPlacement::AllBusy};
    job.exchange->onCallerLeft = [waiter] { waiter->wake.cancel(); };
    ErrorCode cancelled; // The timer only ever ends by being cancelled.
    co_await waiter->wake.async_wait(storeError(cancelled));
    job.exchange->onCallerLeft = nullptr;
    job.waited += core::MonoClock::now() - now;
    if (!waiter->result) {
        queue->order.remove(waiter->ticket, false);
        queue->waiters.erase(waiter->ticket);
        co_return PlacementResult {.placement = std::nullopt, .reason = NoPlacement::TooLate};
    }
    co_return *waiter->result;
}

/** @return The request's place in the queue, or nullptr if it could not be served in time. */
std::shared_ptr<RequestFlow::Waiter> RequestFlow::enqueue(const Job &job, ServiceQueue &queue,
                                                          core::MonoTime now)
{
    const WaitTicket ticket(++lastTicket_);
    const WaitRequest wait {
        .ticket = ticket,
        .account = job.account == nullptr ? core::ClientAccountId() : job.account->id,
        .accountPriority = job.account == nullptr ? 0 : job.account->priority,
        .routePriority = job.route->priority,
        .expectedWork = parts_.upstreams.expectedWork(job.route->id, job.route->targetLatency),
        .deadline = job.deadline};
    // The other VMs fill the upstreams as well: only this VM's part of the slots drains its queue.
    const double ownSlots = fleetPart_ * parts_.upstreams.slotsOf(job.service);
    if (!queue.order.enqueue(now, wait, ownSlots))
        return nullptr;
    auto waiter = std::make_shared<Waiter>(parts_.context);
    waiter->ticket = ticket;
    waiter->request = placementRequest(job, now);
    waiter->arrivedAt = job.exchange->receivedAt;
    waiter->deadline = job.deadline;
    queue.waiters.emplace(ticket, waiter);
    return waiter;
}

void RequestFlow::pump(core::MonoTime now)
{
    for (const auto &[service, queue] : queues_)
        pumpService(*queue, now);
}

void RequestFlow::pumpService(ServiceQueue &queue, core::MonoTime now)
{
    while (queue.order.size() > 0) {
        const WaitTurn turn = queue.order.turn(now);
        for (const WaitTicket ticket : turn.tooLate) {
            const auto late = queue.waiters.find(ticket);
            late->second->result = {.placement = std::nullopt, .reason = NoPlacement::TooLate};
            late->second->wake.cancel();
            queue.waiters.erase(late);
        }
        if (!turn.next)
            return;
        const std::shared_ptr<Waiter> waiter = queue.waiters.at(*turn.next);
        waiter->request.elapsed = now - waiter->arrivedAt;
        waiter->request.timeLeft = waiter->deadline - now;
        PlacementResult result = parts_.upstreams.choose(now, waiter->request);
        if (!result.placement && result.reason == NoPlacement::AllBusy)
            return;
        if (result.placement)
            parts_.upstreams.started(now, *result.placement);
        queue.order.remove(*turn.next, result.placement.has_value());
        queue.waiters.erase(*turn.next);
        waiter->result = std::move(result);
        waiter->wake.cancel();
    }
}

LinkOptions RequestFlow::linkOptions(Job &job, const Placement &placement, core::MonoTime now)
{
    LinkOptions options {.connectTimeout = options_.connectTimeout, .deadline = job.deadline};
    if (!job.route->idempotent || job.sent + 1 >= job.route->maxAttempts)
        return options;
    const auto soft = std::chrono::duration_cast<core::Micros>(options_.softTimeoutOfTarget
                                                               * job.route->targetLatency);
    options.softTimeout =
        std::max(soft, options_.softTimeoutOfExpected * placement.expectedDuration);
    if (now + options.softTimeout >= job.deadline)
        options.softTimeout = core::Micros(0);
    options.mayAbandon = [this, &job] {
        job.repeatGranted = retriesOf(job.service).take(core::MonoClock::now(), fleetPart_);
        return job.repeatGranted;
    };
    return options;
}

/** Makes one attempt. @return Whether another is to follow. */
asio::awaitable<bool> RequestFlow::attempt(Job &job, const Placement &placement)
{
    const core::MonoTime startedAt = core::MonoClock::now();
    const core::Micros maxIdle =
        job.route->idempotent ? core::Micros::max() : options_.maxIdleForNonIdempotent;
    std::unique_ptr<HttpLink> link =
        links_.take(startedAt, {.address = placement.address, .port = placement.port}, maxIdle);
    const HttpRequest forwarded = makeForwarded(job, placement, startedAt);
    const std::string attemptId = text(fieldValue(forwarded, options_.names.attemptId));
    const auto canceller = std::make_shared<LinkCanceller>();
    if (job.exchange->callerLeft)
        canceller->cancel();
    if (job.route->idempotent)
        job.exchange->onCallerLeft = [canceller] { canceller->cancel(); };
    job.repeatGranted = false;
    const AnswerFilter filter = [this, &attemptId](const HttpResponse &response) {
        return answersAttempt(response, options_.names, attemptId);
    };
    const LinkOptions times = linkOptions(job, placement, startedAt);
    LinkResult result = co_await link->exchange(forwarded, times, canceller, filter);
    // A connection with an answer that cannot be trusted carries no further request.
    if (interpretLinkResult(result, options_.names).end != AttemptEnd::Broken)
        links_.give(core::MonoClock::now(), std::move(link));
    co_return settle(job, placement, startedAt, std::move(result));
}

/** @return What is sent to an upstream for a request. */
HttpRequest RequestFlow::makeForwarded(const Job &job, const Placement &placement,
                                       core::MonoTime now) const
{
    /** A deadline of nothing would be no deadline to some upstreams. */
    constexpr core::Millis shortestDeadline {1};
    const core::Micros timeLeft = job.deadline - now - options_.returnTime;
    return makeForwardRequest(
        job.exchange->request, options_.names,
        {.account = job.account == nullptr ? core::ClientAccountId() : job.account->id,
         .upstream = placement.upstream,
         .timeLeft = std::max(core::Micros(shortestDeadline), timeLeft)});
}

/** Learns from an attempt and answers the caller. @return Whether another attempt is to follow. */
bool RequestFlow::settle(Job &job, const Placement &placement, core::MonoTime startedAt,
                         LinkResult result)
{
    const core::MonoTime now = core::MonoClock::now();
    const UpstreamAnswer answer = interpretLinkResult(result, options_.names);
    const AttemptRecord record {.upstream = placement.upstream,
                                .route = job.route->id,
                                .attempt = placement.attempt,
                                .end = answer.end,
                                .startedAt = startedAt,
                                .endedAt = now,
                                .load = answer.load};
    parts_.upstreams.finished(record);
    reportAttempt(job, placement, record, result);
    job.tried.push_back(placement.upstream);
    if (answer.end == AttemptEnd::NotSent)
        ++job.connectFailures;
    else
        ++job.sent;
    job.mayHaveRun = job.mayHaveRun || !certainlyNotRun(answer.end);
    if (const auto queue = queues_.find(job.service); queue != queues_.end())
        pumpService(*queue->second, now);
    if (mayRepeat(job, answer.end, now))
        return true;
    if (answer.end == AttemptEnd::Answered || answer.end == AttemptEnd::ServerError) {
        job.exchange->response = makeCallerAnswer(std::move(result.response), options_.names);
        job.outcome = attemptEndName(answer.end);
        return false;
    }
    answerFailure(job, answer.end);
    return false;
}

bool RequestFlow::mayRepeat(Job &job, AttemptEnd end, core::MonoTime now)
{
    if (end == AttemptEnd::Answered || end == AttemptEnd::CallerLeft || job.exchange->callerLeft)
        return false;
    if (!certainlyNotRun(end) && !job.route->idempotent)
        return false;
    const core::Micros work =
        parts_.upstreams.expectedWork(job.route->id, job.route->targetLatency);
    if (now + work > job.deadline)
        return false;
    if (end == AttemptEnd::NotSent)
        return job.connectFailures < options_.maxConnectFailures;
    if (job.sent >= job.route->maxAttempts)
        return false;
    if (job.repeatGranted)
        return true;
    return retriesOf(job.service).take(now, fleetPart_);
}

void RequestFlow::refuse(Job &job, const Refusal &refusal)
{
    HttpResponse response(refusal.status, httpVersion11);
    if (refusal.retryAfter)
        response.set(beasthttp::field::retry_after, secondsText(*refusal.retryAfter));
    const std::string_view id = fieldValue(job.exchange->request, options_.names.attemptId);
    if (!id.empty())
        response.set(options_.names.attemptId, text(id));
    response.prepare_payload();
    job.exchange->response = std::move(response);
    job.outcome = refusal.code;
}

void RequestFlow::refuseUnplaced(Job &job, NoPlacement reason)
{
    if (job.mayHaveRun) {
        refuse(job, {.status = beasthttp::status::bad_gateway, .code = "upstream_failed"});
        return;
    }
    if (job.account != nullptr && job.sent == 0)
        parts_.shares.giveBack(*job.account);
    const std::string_view code = reason == NoPlacement::NoUpstream ? "no_upstream"
        : reason == NoPlacement::AllBusy                            ? "all_upstreams_busy"
                                                                    : "deadline_too_close";
    refuse(job,
           {.status = beasthttp::status::service_unavailable,
            .code = code,
            .retryAfter = busyRetryAfter});
}

void RequestFlow::answerFailure(Job &job, AttemptEnd end)
{
    if (!job.mayHaveRun) {
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
                                const AttemptRecord &record, const LinkResult &result)
{
    parts_.registry.addCounter(
        "teaselreach_attempts_total",
        {{"service", job.service.str()}, {"end", text(attemptEndName(record.end))}}, 1);
    if (record.end == AttemptEnd::Answered)
        return;
    core::logEvent(core::LogLevel::Info, "attempt_failed",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"service", job.service.str()},
                    {"upstream", placement.upstream.str()},
                    {"end", attemptEndName(record.end)},
                    {"detail", result.detail},
                    {"reused", result.reused ? 1 : 0},
                    {"status",
                     result.failure == LinkFailure::None
                         ? static_cast<std::int64_t>(result.response.result_int())
                         : 0},
                    {"expected_ms", millis(placement.expectedDuration)},
                    {"failure_pct", static_cast<std::int64_t>(100 * placement.failureEstimate)},
                    {"duration_ms", millis(record.endedAt - record.startedAt)}});
}

void RequestFlow::report(const Job &job)
{
    const core::MonoTime now = core::MonoClock::now();
    const core::Micros duration = now - job.exchange->receivedAt;
    const std::string route = job.route == nullptr ? "" : job.route->id.str();
    const std::string account = job.account == nullptr ? "" : job.account->id.str();
    const std::string outcome = job.exchange->callerLeft ? "caller_left" : job.outcome;
    parts_.registry.countRequest(
        {.service = job.service, .account = core::ClientAccountId(account), .outcome = outcome},
        duration, now);
    core::logEvent(core::LogLevel::Info, "request_done",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"route", route},
                    {"account", account},
                    {"service", job.service.str()},
                    {"upstream", job.tried.empty() ? std::string() : job.tried.back().str()},
                    {"sent", job.sent},
                    {"connect_failures", job.connectFailures},
                    {"status", static_cast<std::int64_t>(job.exchange->response.result_int())},
                    {"outcome", outcome},
                    {"config_version", job.table ? job.table->configuration().version.count() : 0},
                    {"limit_part_pct", static_cast<std::int64_t>(100 * parts_.shares.part())},
                    {"waited_ms", millis(job.waited)},
                    {"duration_ms", millis(duration)}});
}

RetryShare &RequestFlow::retriesOf(const core::ServiceId &service)
{
    return retries_.try_emplace(service, options_.retries).first->second;
}

std::shared_ptr<RequestFlow::ServiceQueue> RequestFlow::queueOf(const core::ServiceId &service)
{
    auto &queue = queues_[service];
    if (!queue)
        queue = std::make_shared<ServiceQueue>();
    return queue;
}

std::size_t RequestFlow::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, queue] : queues_)
        count += queue->order.size();
    return count;
}

} // namespace teaselreach::proxy
