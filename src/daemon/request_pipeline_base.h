/** @file request_pipeline_base.h Routes, admits and forwards the requests of callers. */
#pragma once

#include "daemon/attempt_func.h"
#include "daemon/collaborator_type.h"
#include "daemon/http_form_func.h"
#include "daemon/lifecycle_base.h"
#include "daemon/refusal_func.h"
#include "daemon/request_check_func.h"
#include "daemon/request_hedges_base.h"
#include "daemon/request_observer_base.h"
#include "proxy/request_loop_base.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace teaselreach::daemon {

/** Timeouts and limits of connections to upstreams. */
struct PipelineOptions
{
    core::Micros connectTimeout {core::Millis(500)};
    core::Micros idleConnection {core::Seconds(30)}; ///< Older idle connections are not used again.
    /** The same for non-idempotent requests. It is shorter because an upstream may close an idle
     * connection, and a request sent at that moment may or may not have run. */
    core::Micros idleForNonIdempotent {core::Seconds(3)};
    proxy::ConnectionPoolOptions connectionPool;
    proxy::HedgeOptions hedges;
};

/**
 * Finds the route, checks the key, applies the rate limit, waits for a slot and chooses upstreams.
 * Models proxy::HedgingPolicy. Runs on the event loop; other threads may call the collaborators at
 * the same time.
 */
template <ConfigSource Config, RateLimiter Limits, RequestGate Gate, UpstreamChooser Chooser>
class RequestPipeline
{
public:
    /** Collaborators of the pipeline; all must outlive it. */
    struct Parts
    {
        proxy::asio::io_context &context;
        Config &config;
        Limits &limits;
        Gate &gate;
        Chooser &chooser;
        const Lifecycle &lifecycle;
        RequestObserver &observer;
    };

    /** State of one request. */
    struct Job
    {
        std::shared_ptr<proxy::CallerExchange> exchange;
        http::ServerRequest request;
        core::RequestId id;
        Authorization authorization;
        core::MonoTime deadline;
        std::vector<core::UpstreamId> tried;
        /** Set once an upstream may have run the request. It replaces the cause of any later
         * refusal, which must not report "not run". */
        std::optional<table::Refusal> unknownOutcomeRefusal;
        bool holdsSlot = false;
        bool shed = false; ///< Whether an upstream shed any attempt.
        HedgeState hedge;
        std::string outcome;
        std::string reason;

        core::ClientAccountId account() const
        {
            return authorization.account == nullptr ? core::ClientAccountId()
                                                    : authorization.account->id;
        }
    };

    using Place = ChosenUpstream;
    static constexpr bool mayHedge = true; ///< See proxy::HedgingPolicy.

    /** @param parts Collaborators. @param options Timeouts and limits. */
    RequestPipeline(Parts parts, PipelineOptions options)
        : parts_(parts)
        , options_(options)
        , hedges_({.gate = parts.gate,
                   .chooser = parts.chooser,
                   .lifecycle = parts.lifecycle,
                   .observer = parts.observer},
                  options.hedges)
        , loop_(parts.context, *this, options.connectionPool)
    { }

    /** Handles one request and sets its response: that of an upstream, or a refusal. */
    proxy::asio::awaitable<void> serve(std::shared_ptr<proxy::CallerExchange> exchange)
    {
        return loop_.serve(std::move(exchange));
    }
    /** Closes pooled upstream connections that will not be used again. */
    void closeStaleUpstreamConnections(core::MonoTime now) { loop_.closeStaleConnections(now); }

    /** Sets the gauge of the extra load by hedges; for regular calls on the event loop. */
    void publishHedgeShare(core::MonoTime now)
    {
        if (const auto snapshot = parts_.config.current())
            hedges_.publishShare(now, snapshot->records().services);
    }

    // Called by the loop; see proxy::HedgingPolicy.

    Job createJob(const std::shared_ptr<proxy::CallerExchange> &exchange) const
    {
        return {.exchange = exchange, .request = takeRequest(*exchange), .id = makeRequestId()};
    }

    proxy::asio::awaitable<bool> admit(Job &job)
    {
        try {
            checkWellFormed(job.request);
            if (parts_.lifecycle.phase() == core::Phase::Refusing)
                throw RequestRefused(table::Refusal::ShuttingDown);
            job.authorization = authorizeNow(job.request);
            job.deadline = requestDeadline(job.request, *job.authorization.route);
            const AdmissionVerdict verdict = co_await waitForToken(job);
            checkAdmitted(verdict);
            hedges_.requestArrived(core::MonoClock::now(), job.authorization.route->service);
            const GateVerdict gateVerdict = co_await waitForSlot(job);
            checkGranted(gateVerdict);
            job.holdsSlot = true;
            co_return true;
        } catch (const RequestRefused &refused) {
            refuse(job, refused.refusal(), refused.what());
        }
        co_return false;
    }

    proxy::asio::awaitable<std::optional<ChosenUpstream>> place(Job &job)
    {
        try {
            recheckKey(job);
            co_return chooseUpstream(job);
        } catch (const RequestRefused &refused) {
            refuse(job, refused.refusal(), refused.what());
        }
        co_return std::nullopt;
    }

    proxy::AttemptPlan planAttempt(const Job &job, const ChosenUpstream &chosen,
                                   core::MonoTime now) const
    {
        const record::Route &route = *job.authorization.route;
        return {
            .target = chosen.target,
            .request = toHttpRequest(
                makeUpstreamRequest(
                    job.request,
                    {.requestId = job.id,
                     .account = job.account(),
                     .remaining = std::chrono::duration_cast<core::Millis>(job.deadline - now)}),
                chosen.target),
            .options = {.connectTimeout = options_.connectTimeout, .deadline = job.deadline},
            .filter = {},
            .maxIdle = route.idempotent ? options_.idleConnection : options_.idleForNonIdempotent,
            .cancelOnCallerLeft = route.idempotent};
    }

    proxy::AttemptVerdict judge(const proxy::ExchangeResult &result) const
    {
        return judgeAttempt(result);
    }

    bool mayReuseConnection(const proxy::ExchangeResult &result) const
    {
        // Refusals carry no id. Written once more, one would refuse the next request.
        return result.failure == proxy::ExchangeFailure::None && !isRefusal(result.response);
    }

    bool finishAttempt(Job &job, const ChosenUpstream &chosen, core::MonoTime startedAt,
                       proxy::ExchangeResult exchangeResult)
    {
        recordAttempt(job, chosen, startedAt, exchangeResult);
        return settleRequest(job, std::move(exchangeResult));
    }

    /** Records the result of an attempt. */
    void recordAttempt(Job &job, const ChosenUpstream &chosen, core::MonoTime startedAt,
                       const proxy::ExchangeResult &result)
    {
        const proxy::AttemptEnd end = judgeAttempt(result).end;
        const AttemptReport report = reportAttempt(job, chosen, result, end, startedAt);
        job.shed = job.shed || end == proxy::AttemptEnd::NotExecuted;
        // The request of a superseded attempt has a response.
        const bool hasResponse = end == proxy::AttemptEnd::Answered
            || end == proxy::AttemptEnd::ServerError || end == proxy::AttemptEnd::Superseded;
        if (!hasResponse && !proxy::certainlyNotExecuted(end))
            job.unknownOutcomeRefusal = refusalOf(end);
        hedges_.attemptFinished(hedgeSubject(job), job.hedge, report);
    }

    /** Decides on a request by the result of a recorded attempt. @return Whether another follows.
     */
    bool settleRequest(Job &job, proxy::ExchangeResult exchangeResult)
    {
        const proxy::AttemptEnd end = judgeAttempt(exchangeResult).end;
        http::Result result = toHttpResult(std::move(exchangeResult));
        if (end == proxy::AttemptEnd::Answered || end == proxy::AttemptEnd::ServerError) {
            job.outcome = answeredOutcome;
            setResponse(makeCallerResponse(std::move(result), job.id), *job.exchange);
            return false;
        }
        if (end != proxy::AttemptEnd::CallerLeft && requestRetry(job, end))
            return true;
        refuse(job, refusalOf(end), result.detail);
        return false;
    }

    core::Micros hedgeDelay(const Job &job, core::MonoTime now)
    {
        return hedges_.delay(now, hedgeSubject(job), job.tried.size());
    }

    std::optional<ChosenUpstream> placeHedge(Job &job, const ChosenUpstream &first,
                                             core::MonoTime startedAt, const proxy::HttpRequest &)
    {
        const core::MonoTime now = core::MonoClock::now();
        try {
            recheckKey(job);
        } catch (const RequestRefused &) {
            hedges_.deny(now, hedgeSubject(job), first, startedAt, proxy::HedgeDenial::NotAllowed);
            return std::nullopt;
        }
        std::optional<ChosenUpstream> chosen =
            hedges_.place(now, hedgeSubject(job), job.hedge, first, startedAt);
        if (chosen)
            job.tried.push_back(chosen->id);
        return chosen;
    }

    /** @return The plan of a hedge. Each plan has its own copy of the request's body. */
    proxy::AttemptPlan planHedge(const Job &job, const ChosenUpstream &chosen, core::MonoTime now,
                                 const proxy::HttpRequest &) const
    {
        return planAttempt(job, chosen, now);
    }

    void hedgeEnded(Job &job, proxy::HedgeOutcome outcome,
                    const proxy::HedgedAttempt<ChosenUpstream> &first,
                    const proxy::HedgedAttempt<ChosenUpstream> &second)
    {
        hedges_.ended(hedgeSubject(job), job.hedge, outcome, first, second);
    }

    bool promisesNotExecuted(const Job &job) const
    {
        return statesNotExecuted(job.exchange->response);
    }

    /** Refuses a request that may have been executed. */
    void refuseAsUnknown(Job &job)
    {
        refuse(job, table::Refusal::UpstreamCut, "an attempt may have executed the request");
    }

    void finishRequest(const Job &job)
    {
        if (job.holdsSlot)
            parts_.gate.releaseSlot(job.authorization.route->service, job.shed);
        recordFinishedRequest(job);
    }

private:
    /** A timer that other threads can cancel, through the event loop, to resume a coroutine. */
    struct WakeableTimer
    {
        explicit WakeableTimer(proxy::asio::io_context &context)
            : timer(context)
        { }
        proxy::asio::steady_timer timer;
        std::optional<GateVerdict> gateVerdict;
    };

    /** Waits until `time`, or until the timer is cancelled. */
    proxy::asio::awaitable<void> waitUntil(std::shared_ptr<WakeableTimer> wait, core::MonoTime time)
    {
        constexpr core::Micros shortest {100};
        wait->timer.expires_after(std::max(shortest, time - core::MonoClock::now()));
        proxy::ErrorCode cancelled; // The caller checks its condition in both cases.
        co_await wait->timer.async_wait(proxy::captureError(cancelled));
    }

    proxy::asio::awaitable<AdmissionVerdict> waitForToken(const Job &job)
    {
        const Authorization &authorization = job.authorization;
        if (authorization.account == nullptr)
            co_return AdmissionVerdict::Admitted;
        const record::Limit *limit = authorization.snapshot->findLimit(authorization.account->id);
        const auto wait = std::make_shared<WakeableTimer>(parts_.context);
        const auto wake = [&context = parts_.context, wait] {
            proxy::asio::post(context, [wait] { wait->timer.cancel(); });
        };
        AdmissionState state =
            parts_.limits.admit(*authorization.account, limit, job.deadline, wake);
        while (!state.verdict && !job.exchange->callerLeft) {
            co_await waitUntil(wait, state.nextCheckAt);
            state = parts_.limits.checkPending(state.pending, core::MonoClock::now());
        }
        if (!state.verdict)
            parts_.limits.abandon(state.pending);
        co_return state.verdict.value_or(AdmissionVerdict::RateLimited);
    }

    proxy::asio::awaitable<GateVerdict> waitForSlot(const Job &job)
    {
        const Authorization &authorization = job.authorization;
        const core::ServiceId &service = authorization.route->service;
        const int weight = authorization.account == nullptr ? 1 : authorization.account->weight;
        const auto wait = std::make_shared<WakeableTimer>(parts_.context);
        const auto wake = [&context = parts_.context, wait](GateVerdict verdict) {
            proxy::asio::post(context, [wait, verdict] {
                wait->gateVerdict = verdict;
                wait->timer.cancel();
            });
        };
        const GateState state =
            parts_.gate.acquireSlot({.service = service,
                                     .account = job.account(),
                                     .routeClass = authorization.route->routeClass,
                                     .weight = weight,
                                     .deadline = job.deadline},
                                    wake);
        if (state.verdict)
            co_return *state.verdict;
        job.exchange->onCallerLeft = [wait] { wait->timer.cancel(); };
        while (!wait->gateVerdict) {
            co_await waitUntil(wait, job.deadline);
            const bool waitEnded =
                core::MonoClock::now() >= job.deadline || job.exchange->callerLeft;
            if (!wait->gateVerdict && waitEnded && parts_.gate.cancel(service, state.ticket))
                co_return GateVerdict::DeadlineExceeded;
        }
        job.exchange->onCallerLeft = nullptr;
        co_return *wait->gateVerdict;
    }

    static void checkAdmitted(AdmissionVerdict verdict)
    {
        switch (verdict) {
        case AdmissionVerdict::Admitted:
            return;
        case AdmissionVerdict::RateLimited:
            throw RequestRefused(table::Refusal::RateLimited);
        case AdmissionVerdict::LimitUnavailable:
            throw RequestRefused(table::Refusal::LimitUnavailable);
        case AdmissionVerdict::DeadlineExceeded:
            throw RequestRefused(table::Refusal::DeadlineExceeded);
        }
    }

    static void checkGranted(GateVerdict verdict)
    {
        switch (verdict) {
        case GateVerdict::Granted:
            return;
        case GateVerdict::QueueFull:
            throw RequestRefused(table::Refusal::QueueFull);
        case GateVerdict::DeadlineExceeded:
            throw RequestRefused(table::Refusal::DeadlineExceeded);
        }
    }

    void refuse(Job &job, table::Refusal cause, std::string_view detail)
    {
        const table::Refusal refusal = job.unknownOutcomeRefusal.value_or(cause);
        job.outcome = table::refusalRow(refusal).code;
        job.reason = detail;
        setResponse(makeRefusal(refusal, job.id), *job.exchange);
    }

    Authorization authorizeNow(const http::ServerRequest &request) const
    {
        const bool usable = parts_.config.keysUsable(core::MonoClock::now());
        return authorize(parts_.config.current(), usable, request);
    }

    /** Checks the key again, since a revocation may have arrived while the request waited. */
    void recheckKey(const Job &job) const
    {
        const Authorization now = authorizeNow(job.request);
        if (now.route->id != job.authorization.route->id)
            throw RequestRefused(table::Refusal::UnknownRoute,
                                 "the request's route changed with the configuration");
        const core::ClientAccountId account =
            now.account == nullptr ? core::ClientAccountId() : now.account->id;
        if (account != job.account())
            throw RequestRefused(table::Refusal::UnknownKey,
                                 "the request's account changed with the configuration");
    }

    ChosenUpstream chooseUpstream(Job &job)
    {
        const record::Route &route = *job.authorization.route;
        const core::MonoTime now = core::MonoClock::now();
        // The remaining time is forwarded in whole milliseconds, and 0 would mean no deadline.
        if (job.deadline - now < core::Millis(1))
            throw RequestRefused(table::Refusal::DeadlineExceeded);
        const std::optional<ChosenUpstream> chosen = parts_.chooser.choose(
            {.service = route.service, .idempotent = route.idempotent, .tried = job.tried}, now);
        if (!chosen)
            throw RequestRefused(job.tried.empty() ? table::Refusal::NoUpstream
                                                   : table::Refusal::UpstreamRefused);
        job.tried.push_back(chosen->id);
        return *chosen;
    }

    static HedgeSubject hedgeSubject(const Job &job)
    {
        return {.id = job.id, .route = *job.authorization.route, .deadline = job.deadline};
    }

    AttemptReport reportAttempt(const Job &job, const ChosenUpstream &chosen,
                                const proxy::ExchangeResult &result, proxy::AttemptEnd end,
                                core::MonoTime startedAt)
    {
        AttemptReport attempt {.upstream = chosen.id,
                               .attemptNumber = chosen.attemptNumber,
                               .service = job.authorization.route->service,
                               .end = end,
                               .startedAt = startedAt,
                               .endedAt = core::MonoClock::now(),
                               .isHedge = job.hedge.upstream == chosen.id};
        if (result.failure == proxy::ExchangeFailure::None)
            readLoadReport(result.response, attempt);
        parts_.chooser.report(attempt);
        return attempt;
    }

    bool requestRetry(const Job &job, proxy::AttemptEnd end)
    {
        const record::Route &route = *job.authorization.route;
        const core::MonoTime now = core::MonoClock::now();
        return parts_.chooser.tryTakeRetry(
            {.service = route.service,
             .end = end,
             .idempotent = route.idempotent,
             .mayHaveRunBefore = job.exchange->evidence.mayHaveExecuted(),
             .attempts = static_cast<int>(job.tried.size()),
             .timeLeft = job.deadline - now},
            now);
    }

    void recordFinishedRequest(const Job &job)
    {
        const record::Route *route = job.authorization.route;
        parts_.observer.recordRequest(
            {.id = job.id,
             .account = job.account(),
             .route = route == nullptr ? core::RouteId() : route->id,
             .service = route == nullptr ? core::ServiceId() : route->service,
             .upstream = job.tried.empty() ? core::UpstreamId() : job.tried.back(),
             .attempts = static_cast<int>(job.tried.size()),
             .status = static_cast<int>(job.exchange->response.result_int()),
             .outcome = job.exchange->callerLeft ? std::string(callerLeftOutcome) : job.outcome,
             .reason = job.reason,
             .hedge = std::string(job.hedge.outcome),
             .duration = core::MonoClock::now() - job.request.receivedAt,
             .proof = job.exchange->evidence.proof()});
    }

    Parts parts_;
    PipelineOptions options_;
    RequestHedges<Gate, Chooser> hedges_;
    proxy::RequestLoop<RequestPipeline> loop_;
};

} // namespace teaselreach::daemon
