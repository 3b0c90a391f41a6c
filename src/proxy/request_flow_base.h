/** @file request_flow_base.h The path of a request from its arrival to its answer. */
#pragma once

#include "core/phase_type.h"
#include "metrics/registry_base.h"
#include "proxy/account_share_base.h"
#include "proxy/dispatcher_base.h"
#include "proxy/exchange_func.h"
#include "proxy/request_loop_base.h"
#include "proxy/route_table_base.h"

#include <map>
#include <memory>

namespace teaselreach::proxy {

/** Constants of the flow. */
struct RequestFlowOptions
{
    HeaderNames names;
    DispatcherOptions dispatch;
    /** Idle time after which a kept connection carries no request that may not be repeated: an
     * upstream may drop idle connections, and whatever is sent then may or may not have run. */
    core::Micros maxIdleForNonIdempotent {core::Seconds(3)};
    /** Time for a new connection, besides the way there and back. */
    core::Micros connectTimeout {core::Millis(250)};
    /** Taken off the deadline that is passed on, for the way back of the answer. */
    core::Micros deadlineMargin {core::Millis(10)};
};

/** Routes, limits, waits, placement, repeats and answers of the requests of one VM; the policy of a
 * RequestLoop. */
class RequestFlow
{
public:
    struct Job;
    using Place = Placement;

    /** Collaborators; all must outlive the flow. */
    struct Parts
    {
        asio::io_context &context;
        UpstreamTable &upstreams;
        AccountRateLimiter &shares;
        metrics::Registry &registry;
    };

    /** @param parts Collaborators. @param options Constants. @param seed For split turns. */
    RequestFlow(Parts parts, RequestFlowOptions options, std::uint64_t seed);

    /** Carries out one request and fills its answer. */
    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange);
    /** Puts a configuration in force. */
    void configure(std::shared_ptr<const RouteTable> table) { table_ = std::move(table); }
    /** @return The configuration in force, or nullptr. */
    const std::shared_ptr<const RouteTable> &table() const { return table_; }
    /** @param part This VM's part of the fleet's traffic, 0 to 1: of its slack for repeats and of
     * the upstreams' slots. */
    void setFleetPart(double part) { dispatcher_.setFleetShare(part); }
    /** Enters a phase of the shutdown. */
    void enterPhase(core::Phase phase) { phase_ = phase; }
    /** @return The phase. */
    core::Phase phase() const { return phase_; }
    /** Sends waiting requests for which there is room, and refuses those that are too late. */
    void dispatchWaiting(core::MonoTime now);
    /** Closes kept connections that are of no use any more. */
    void closeStaleConnections(core::MonoTime now) { loop_.closeStaleConnections(now); }
    /** @return Waiting requests. */
    std::size_t waiting() const { return dispatcher_.waiting(); }

private:
    friend class RequestLoop<RequestFlow>;
    struct Waiter;
    struct Refusal;

    // What the loop calls; see RequestPolicy.
    Job createJob(const std::shared_ptr<CallerExchange> &exchange) const;
    asio::awaitable<bool> admit(Job &job);
    asio::awaitable<std::optional<Placement>> place(Job &job);
    AttemptPlan planAttempt(Job &job, const Placement &placement, core::MonoTime now);
    bool mayReuseConnection(const ExchangeResult &result) const;
    bool finishAttempt(Job &job, const Placement &placement, core::MonoTime startedAt,
                       ExchangeResult result);
    void finishRequest(const Job &job);

    bool findRoute(Job &job);
    bool findAccount(Job &job);
    bool checkLimit(Job &job);
    asio::awaitable<PlacementResult> choosePlacement(Job &job);
    asio::awaitable<PlacementResult> waitForPlacement(Job &job, WaitTicket ticket,
                                                      core::MonoTime now);
    void wakeWaiters(std::vector<DispatchDecision> decided);
    HttpRequest buildForwardRequest(const Job &job, const Placement &placement,
                                    core::MonoTime now) const;
    ExchangeOptions exchangeOptions(Job &job, const Placement &placement, core::MonoTime now);
    void refuse(Job &job, const Refusal &refusal);
    void refuseUnplaced(Job &job, PlacementFailure reason);
    void refuseAfterFailure(Job &job, AttemptEnd end);
    void reportAttempt(const Job &job, const Placement &placement, const AttemptRecord &record,
                       const ExchangeResult &result);

    Parts parts_;
    RequestFlowOptions options_;
    Dispatcher<UpstreamTable> dispatcher_;
    std::map<WaitTicket, std::shared_ptr<Waiter>> waiters_;
    RequestLoop<RequestFlow> loop_;
    SplitSelector splits_;
    std::shared_ptr<const RouteTable> table_;
    core::Phase phase_ = core::Phase::Serving;
};

} // namespace teaselreach::proxy
