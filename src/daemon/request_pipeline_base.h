/** @file request_pipeline_base.h The path of a request from its arrival to its answer. */
#pragma once

#include "core/log_func.h"
#include "daemon/attempt_func.h"
#include "daemon/collaborator_type.h"
#include "daemon/counters_base.h"
#include "daemon/lifecycle_base.h"
#include "daemon/refusal_func.h"
#include "daemon/request_check_func.h"
#include "http/client_base.h"

#include <utility>

namespace teaselreach::daemon {

/**
 * Finds the route, checks the key, asks the limits and the queue, and sends the request to an
 * upstream. All members may be called by several threads at a time.
 */
template <ConfigSource Config, Admission Limits, DispatchGate Gate, UpstreamChooser Chooser>
class RequestPipeline
{
public:
    /** What the pipeline works with; all of it must outlive the pipeline. */
    struct Parts
    {
        Config &config;
        Limits &limits;
        Gate &gate;
        Chooser &chooser;
        http::Client &client;
        const Lifecycle &lifecycle;
        Counters &counters;
    };

    /** @param parts The collaborators. */
    explicit RequestPipeline(Parts parts)
        : parts_(parts)
    { }

    /**
     * Carries out one request.
     * @param request The caller's request.
     * @return The upstream's answer, or a typed refusal; never throws for a refusal.
     */
    http::ServerResponse handle(const http::ServerRequest &request)
    {
        Progress progress {.request = request, .id = makeRequestId()};
        http::ServerResponse response;
        try {
            response = run(progress);
            parts_.counters.countAnswered();
            log(progress, response.status, "answered", "");
        } catch (const RequestRefused &refused) {
            response = refuse(progress, refused.refusal(), refused.what());
        } catch (const http::ClientUnavailable &error) {
            response = refuse(progress, table::Refusal::NoUpstream, error.what());
        }
        if (parts_.lifecycle.phase() != Phase::Serving)
            response.closeConnection = true;
        return response;
    }

private:
    /** State of one request. */
    struct Progress
    {
        const http::ServerRequest &request;
        core::RequestId id;
        Authorization authorization;
        core::MonoTime deadline;
        std::vector<core::UpstreamId> tried;
        /** Set once an upstream may have run the request. A later refusal must not report
         * "not run", whatever its cause. */
        std::optional<table::Refusal> maybeRun;

        core::ClientAccountId account() const
        {
            return authorization.account == nullptr ? core::ClientAccountId()
                                                    : authorization.account->id;
        }
    };

    /** Leaves the gate at the end of a scope. */
    struct GateSlot
    {
        Gate &gate;
        core::ServiceId service;

        GateSlot(Gate &entered, core::ServiceId id)
            : gate(entered)
            , service(std::move(id))
        { }
        ~GateSlot() { gate.leave(service); }
        GateSlot(const GateSlot &) = delete;
        GateSlot &operator=(const GateSlot &) = delete;
    };

    http::ServerResponse refuse(const Progress &progress, table::Refusal cause,
                                std::string_view detail)
    {
        const table::Refusal refusal = progress.maybeRun.value_or(cause);
        http::ServerResponse response = makeRefusal(refusal, progress.id);
        parts_.counters.countRefused(refusal);
        log(progress, response.status, table::refusalRow(refusal).code, detail);
        return response;
    }

    http::ServerResponse run(Progress &progress)
    {
        checkWellFormed(progress.request);
        if (parts_.lifecycle.phase() == Phase::Refusing)
            throw RequestRefused(table::Refusal::ShuttingDown);
        progress.authorization = authorizeNow(progress.request);
        progress.deadline = deadlineOf(progress.request, *progress.authorization.route);
        checkLimits(progress);
        enterGate(progress);
        const GateSlot slot(parts_.gate, progress.authorization.route->service);
        return dispatch(progress);
    }

    Authorization authorizeNow(const http::ServerRequest &request) const
    {
        const bool usable = parts_.config.keysUsable(core::MonoClock::now());
        return authorize(parts_.config.current(), usable, request);
    }

    void checkLimits(const Progress &progress)
    {
        const Authorization &authorization = progress.authorization;
        if (authorization.account == nullptr)
            return;
        const record::Limit *limit = authorization.snapshot->findLimit(authorization.account->id);
        switch (parts_.limits.admit(*authorization.account, limit, progress.deadline)) {
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

    void enterGate(const Progress &progress)
    {
        const Authorization &authorization = progress.authorization;
        const int weight = authorization.account == nullptr ? 1 : authorization.account->weight;
        switch (parts_.gate.enter({.service = authorization.route->service,
                                   .account = progress.account(),
                                   .routeClass = authorization.route->routeClass,
                                   .weight = weight,
                                   .deadline = progress.deadline})) {
        case GateVerdict::Granted:
            return;
        case GateVerdict::QueueFull:
            throw RequestRefused(table::Refusal::QueueFull);
        case GateVerdict::DeadlineExceeded:
            throw RequestRefused(table::Refusal::DeadlineExceeded);
        }
    }

    /** Sends the request until it is answered or may not be sent again. */
    http::ServerResponse dispatch(Progress &progress)
    {
        while (true) {
            recheckKey(progress);
            http::Result result;
            const AttemptOutcome outcome = attempt(progress, result);
            const bool whole =
                outcome == AttemptOutcome::Success || outcome == AttemptOutcome::ServerError;
            if (whole)
                return makeCallerResponse(std::move(result), progress.id);
            if (!surelyNotRun(outcome))
                progress.maybeRun = refusalOf(outcome);
            if (!mayTryAgain(progress, outcome))
                throw RequestRefused(refusalOf(outcome), result.detail);
        }
    }

    /** Checks the key again, since a revocation may have arrived while the request waited. */
    void recheckKey(const Progress &progress) const
    {
        const Authorization now = authorizeNow(progress.request);
        if (now.route->id != progress.authorization.route->id)
            throw RequestRefused(table::Refusal::UnknownRoute, "the route was replaced");
        const core::ClientAccountId account =
            now.account == nullptr ? core::ClientAccountId() : now.account->id;
        if (account != progress.account())
            throw RequestRefused(table::Refusal::UnknownKey, "the key changed its account");
    }

    AttemptOutcome attempt(Progress &progress, http::Result &result)
    {
        const record::Route &route = *progress.authorization.route;
        const core::MonoTime startedAt = core::MonoClock::now();
        const auto remaining =
            std::chrono::duration_cast<core::Millis>(progress.deadline - startedAt);
        if (remaining.count() <= 0)
            throw RequestRefused(table::Refusal::DeadlineExceeded);
        const std::optional<ChosenUpstream> chosen = parts_.chooser.choose(
            {.service = route.service, .idempotent = route.idempotent, .tried = progress.tried},
            startedAt);
        if (!chosen)
            throw RequestRefused(progress.tried.empty() ? table::Refusal::NoUpstream
                                                        : table::Refusal::UpstreamRefused);
        progress.tried.push_back(chosen->id);
        const http::Request forwarded = makeUpstreamRequest(
            progress.request,
            {.requestId = progress.id, .account = progress.account(), .remaining = remaining});
        result = parts_.client.send(chosen->target, forwarded, remaining);
        return report(progress, *chosen, result, startedAt);
    }

    AttemptOutcome report(const Progress &progress, const ChosenUpstream &chosen,
                          const http::Result &result, core::MonoTime startedAt)
    {
        AttemptReport attempt {.upstream = chosen.id,
                               .service = progress.authorization.route->service,
                               .outcome = outcomeOf(result),
                               .startedAt = startedAt,
                               .endedAt = core::MonoClock::now()};
        readLoadReport(result.headers, attempt);
        parts_.chooser.report(attempt);
        return attempt.outcome;
    }

    bool mayTryAgain(const Progress &progress, AttemptOutcome outcome)
    {
        const record::Route &route = *progress.authorization.route;
        if (!surelyNotRun(outcome) && !route.idempotent)
            return false;
        return parts_.chooser.mayRetry(route.service, core::MonoClock::now());
    }

    void log(const Progress &progress, int status, std::string_view outcome,
             std::string_view reason) const
    {
        const record::Route *route = progress.authorization.route;
        const core::Micros duration = core::MonoClock::now() - progress.request.receivedAt;
        core::logEvent(
            core::LogLevel::Info, "request_done",
            {{"request_id", progress.id.str()},
             {"account", progress.account().str()},
             {"route", route == nullptr ? std::string() : route->id.str()},
             {"upstream", progress.tried.empty() ? std::string() : progress.tried.back().str()},
             {"attempts", static_cast<std::int64_t>(progress.tried.size())},
             {"status", std::int64_t {status}},
             {"outcome", outcome},
             {"reason", reason},
             {"duration_us", std::int64_t {duration.count()}}});
    }

    Parts parts_;
};

} // namespace teaselreach::daemon
