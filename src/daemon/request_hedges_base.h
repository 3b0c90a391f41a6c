/** @file request_hedges_base.h Decides on the hedges of a daemon's requests and reports them. */
#pragma once

#include "core/log_func.h"
#include "daemon/collaborator_type.h"
#include "daemon/lifecycle_base.h"
#include "daemon/request_observer_base.h"
#include "placement/hedge_policy_base.h"
#include "proxy/request_loop_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselreach::daemon {

/** The hedge of one request. */
struct HedgeState
{
    std::optional<core::UpstreamId> upstream; ///< Of the hedge, once there was one.
    bool wasOverdue = false;                  ///< Whether the HedgePolicy counts it as slow.
    bool holdsSlot = false;                   ///< Whether a second slot of the gate is taken.
    std::string_view outcome;                 ///< Empty without a hedge.
};

/** A request, as far as decisions on its hedge need it. */
struct HedgeSubject
{
    const core::RequestId &id;
    const record::Route &route;
    core::MonoTime deadline;
};

/**
 * Applies the HedgePolicy to the requests of the pipeline. A hedge takes a slot of the gate that is
 * free at that moment, and a retry from the chooser's budget. While two attempts are in flight the
 * request holds two slots. Used on the event loop only; the collaborators are thread-safe.
 */
template <RequestGate Gate, UpstreamChooser Chooser>
class RequestHedges
{
public:
    /** Collaborators; all must outlive the object. */
    struct Parts
    {
        Gate &gate;
        Chooser &chooser;
        const Lifecycle &lifecycle;
        RequestObserver &observer;
    };

    /** @param parts Collaborators. @param options Settings; a limit of 0 disables hedging. */
    RequestHedges(Parts parts, proxy::HedgeOptions options)
        : parts_(parts)
        , policy_(options)
    { }

    /** Records a request that has passed its rate limit; it raises the limit of hedges. */
    void requestArrived(core::MonoTime now, const core::ServiceId &service)
    {
        if (policy_.enabled())
            policy_.requestArrived(now, service);
    }

    /** @param attempts Attempts of the request, including the current one. @return Time after the
     * start of the current attempt at which a hedge is considered; zero for never. */
    core::Micros delay(core::MonoTime now, const HedgeSubject &subject, std::size_t attempts)
    {
        if (!policy_.enabled() || !subject.route.idempotent || attempts != 1
            || parts_.lifecycle.phase() != core::Phase::Serving)
            return core::Micros(0);
        const core::Micros delay = policy_.delay(now, subject.route.id);
        return now + delay >= subject.deadline ? core::Micros(0) : delay;
    }

    /** Decides, after the delay, whether to send a hedge while the first attempt is in flight.
     * @return The upstream of the hedge, which counts as started, or nothing. */
    std::optional<ChosenUpstream> place(core::MonoTime now, const HedgeSubject &subject,
                                        HedgeState &state, const ChosenUpstream &first,
                                        core::MonoTime startedAt)
    {
        const HedgeDecision decision = decide(now, subject, state, first);
        if (decision.upstream)
            return decision.upstream;
        deny(now, subject, first, startedAt, *decision.denial);
        return std::nullopt;
    }

    /** Logs and counts that a request gets no hedge after the delay. */
    void deny(core::MonoTime now, const HedgeSubject &subject, const ChosenUpstream &first,
              core::MonoTime startedAt, proxy::HedgeDenial denial)
    {
        const std::string_view reason = proxy::hedgeDenialName(denial);
        count(subject, "denied", reason);
        core::logEvent(core::LogLevel::Info, "hedge_denied",
                       {{"request_id", subject.id.str()},
                        {"route", subject.route.id.str()},
                        {"service", subject.route.service.str()},
                        {"upstream", first.id.str()},
                        {"reason", reason},
                        {"elapsed_ms", toMillis(now - startedAt)}});
    }

    /** Records a finished attempt. With a hedge, the first attempt that ends releases the second
     * slot. */
    void attemptFinished(const HedgeSubject &subject, HedgeState &state,
                         const AttemptReport &attempt)
    {
        if (!policy_.enabled())
            return;
        releaseSlot(subject.route.service, state, attempt.end == proxy::AttemptEnd::NotExecuted);
        policy_.attemptFinished({.service = subject.route.service,
                                 .route = subject.route.id,
                                 .end = attempt.end,
                                 .startedAt = attempt.startedAt,
                                 .endedAt = attempt.endedAt,
                                 .isHedge = attempt.isHedge,
                                 .wasOverdue = !attempt.isHedge && state.wasOverdue});
        if (!attempt.isHedge)
            state.wasOverdue = false;
        parts_.observer.registry().addCounter(
            "teaselreach_attempts_total",
            {{"service", subject.route.service.str()},
             {"end", std::string(proxy::attemptEndName(attempt.end))}},
            1);
    }

    /** Releases the second slot of a request, if it still holds one. */
    void releaseSlot(const core::ServiceId &service, HedgeState &state, bool shed)
    {
        if (!state.holdsSlot)
            return;
        state.holdsSlot = false;
        parts_.gate.releaseHedgeSlot(service, shed);
    }

    /** Logs and counts a hedge, once both attempts have ended. */
    void ended(const HedgeSubject &subject, HedgeState &state, proxy::HedgeOutcome outcome,
               const proxy::HedgedAttempt<ChosenUpstream> &first,
               const proxy::HedgedAttempt<ChosenUpstream> &second)
    {
        state.outcome = proxy::hedgeOutcomeName(outcome);
        count(subject, state.outcome, "");
        core::logEvent(core::LogLevel::Info, "hedge",
                       {{"request_id", subject.id.str()},
                        {"route", subject.route.id.str()},
                        {"service", subject.route.service.str()},
                        {"outcome", state.outcome},
                        {"upstream", first.place.id.str()},
                        {"end", proxy::attemptEndName(first.end)},
                        {"duration_ms", toMillis(first.endedAt - first.startedAt)},
                        {"hedge_upstream", second.place.id.str()},
                        {"hedge_end", proxy::attemptEndName(second.end)},
                        {"hedge_duration_ms", toMillis(second.endedAt - second.startedAt)},
                        {"delay_ms", toMillis(second.startedAt - first.startedAt)}});
    }

    /** Sets the gauge of the extra load by hedges, at most once a second. */
    void publishShare(core::MonoTime now, const std::vector<record::Service> &services)
    {
        constexpr core::Seconds interval {1};
        if (!policy_.enabled() || now < nextPublishAt_)
            return;
        nextPublishAt_ = now + interval;
        for (const record::Service &service : services)
            parts_.observer.registry().setGauge("teaselreach_hedge_share",
                                                {{"service", service.id.str()}},
                                                policy_.share(now, service.id));
    }

private:
    HedgeDecision decide(core::MonoTime now, const HedgeSubject &subject, HedgeState &state,
                         const ChosenUpstream &first)
    {
        const auto deny = [](proxy::HedgeDenial denial) {
            return HedgeDecision {.upstream = std::nullopt, .denial = denial};
        };
        const core::ServiceId &service = subject.route.service;
        if (parts_.lifecycle.phase() != core::Phase::Serving)
            return deny(proxy::HedgeDenial::Leaving);
        policy_.attemptOverdue(now, service);
        state.wasOverdue = true;
        if (const auto denial = policy_.denial(now, service))
            return deny(*denial);
        const queue::SlotResult slot = parts_.gate.tryAcquireSlot(service);
        if (slot != queue::SlotResult::Granted)
            return deny(slot == queue::SlotResult::Queued ? proxy::HedgeDenial::Queued
                                                          : proxy::HedgeDenial::NoUpstream);
        HedgeDecision decision = parts_.chooser.chooseHedge(
            {.service = service, .first = first.id, .timeLeft = subject.deadline - now}, now);
        if (!decision.upstream) {
            parts_.gate.releaseHedgeSlot(service, false);
            return decision;
        }
        policy_.hedgeSent(now, service);
        state.holdsSlot = true;
        state.upstream = decision.upstream->id;
        return decision;
    }

    void count(const HedgeSubject &subject, std::string_view outcome, std::string_view reason)
    {
        parts_.observer.registry().addCounter("teaselreach_hedges_total",
                                              {{"service", subject.route.service.str()},
                                               {"outcome", std::string(outcome)},
                                               {"reason", std::string(reason)}},
                                              1);
    }

    static std::int64_t toMillis(core::Micros time)
    {
        return std::chrono::duration_cast<core::Millis>(time).count();
    }

    Parts parts_;
    proxy::HedgePolicy policy_;
    core::MonoTime nextPublishAt_ {};
};

} // namespace teaselreach::daemon
