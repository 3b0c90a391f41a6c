/** @file request_flow_base.h Serves requests from their arrival to the response. */
#pragma once

#include "core/phase_type.h"
#include "metrics/registry_base.h"
#include "placement/account_rate_limiter_base.h"
#include "placement/dispatcher_base.h"
#include "placement/response_sizes_base.h"
#include "placement/route_table_base.h"
#include "proxy/body_gauges_base.h"
#include "proxy/exchange_func.h"
#include "proxy/placement_query_func.h"
#include "proxy/request_loop_base.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace teaselreach::proxy {

/** Constants of a RequestFlow. */
struct RequestFlowOptions
{
    HeaderNames names;
    /** Reads what an upstream says of itself in a response; may be empty. */
    std::function<UpstreamStatus(const HttpResponse &)> readStatus;
    DispatcherOptions dispatch;
    /** Bounds the request bodies at each upstream; the same as of the upstream table. */
    UpstreamByteLimiterOptions upstreamBytes;
    /** Bounds the memory of response bodies; nullptr for no bound. */
    std::shared_ptr<BodyBudget> bodies = std::make_shared<BodyBudget>();
    /** Longest idle time of a connection that is reused for a non-idempotent request: an upstream
     * may drop idle connections, and a request sent just then may or may not have run. */
    core::Micros maxIdleForNonIdempotent {core::Seconds(3)};
    /** Timeout for setting up a connection, with time to spare beyond the network round trip. */
    core::Micros connectTimeout {core::Millis(250)};
    /** Subtracted from the deadline sent to upstreams, for the transit time of the response. */
    core::Micros deadlineMargin {core::Millis(10)};
    /** The same while this VM shuts down: the upstream's own response to a request that it stopped
     * must arrive before the process ends, from another region and over a busy link too. */
    core::Micros leavingDeadlineMargin {core::Millis(250)};
};

/** The RequestPolicy of one VM: finds routes and accounts, applies limits, queues and places
 * requests, decides on retries and builds the responses. */
class RequestFlow
{
public:
    struct Job;
    using Place = Placement;
    static constexpr bool mayHedge = true; ///< See HedgingPolicy.

    /** The objects that a RequestFlow uses; all must outlive it. */
    struct Parts
    {
        asio::io_context &context;
        UpstreamTable &upstreams;
        AccountRateLimiter &shares;
        metrics::Registry &registry;
    };

    /** @param parts Objects to use. @param options Constants. @param seed For traffic splits. */
    RequestFlow(Parts parts, RequestFlowOptions options, std::uint64_t seed);

    /** Serves one request and fills its response. */
    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange);
    /** Applies a configuration to all requests that arrive from now on. If it narrows the regions
     * of earlier ones, these apply to their attempts from now on, and queued requests are decided
     * again. */
    void configure(std::shared_ptr<const RouteTable> table);
    /** @return The current configuration, or nullptr before the first. */
    const std::shared_ptr<const RouteTable> &table() const { return table_; }
    /** @param share This VM's share of the fleet's traffic, 0 to 1; it has the same share of the
     * retry budget's slack and of the upstreams' slots. */
    void setFleetShare(double share) { dispatcher_.setFleetShare(share); }
    /** Takes over what is known of the use of accounts before this process started. */
    void earlierUseKnown(const AccountUseRecord &record) { parts_.shares.earlierUseKnown(record); }
    /** Changes the phase. */
    void enterPhase(core::Phase phase) { phase_ = phase; }
    /** Enters the phase Leaving. Every request that has not been sent to an upstream yet gets its
     * final response by a time. Upstreams are given correspondingly less time, so that their own
     * response still arrives. */
    void leaveBy(core::MonoTime lastResponseAt);
    /** Ends all attempts that are in progress; their callers get a 502 or 504 at once. */
    void abandonAttempts() { loop_.cancelAttempts(); }
    /** @return The current phase of the daemon. */
    core::Phase phase() const { return phase_; }
    /** Places waiting requests for which an upstream has room, and refuses those that can no longer
     * be served before their deadline. */
    void dispatchWaiting(core::MonoTime now);
    /** Closes idle connections that can no longer be reused. */
    void closeStaleConnections(core::MonoTime now) { loop_.closeStaleConnections(now); }
    /** Sets the metrics of the retry budgets and of the queues. */
    void publishMetrics(core::MonoTime now);
    /** @return The account of a request's key; empty without one. */
    core::ClientAccountId accountOf(const HttpRequest::header_type &header) const;
    /** @return Number of requests that wait for an upstream. */
    std::size_t waiting() const { return dispatcher_.waiting(); }
    /** @return What would happen to a request that arrives now, and why. Changes nothing. */
    PlacementAnswer explain(core::MonoTime now, const PlacementQuery &query) const;
    /** Sets the gauge of the extra load by hedges, unless hedging is disabled. */
    void updateHedgeShare(core::MonoTime now);

private:
    friend class RequestLoop<RequestFlow>;
    struct Waiter;
    struct Refusal;

    // The functions of a RequestPolicy.
    Job createJob(const std::shared_ptr<CallerExchange> &exchange) const;
    asio::awaitable<bool> admit(Job &job);
    asio::awaitable<std::optional<Placement>> place(Job &job);
    AttemptPlan planAttempt(Job &job, const Placement &placement, core::MonoTime now);
    AttemptVerdict judge(const ExchangeResult &result) const
    {
        return judgeExchange(result, options_.names);
    }
    bool mayReuseConnection(const ExchangeResult &result) const;
    UpstreamStatus statusOf(const ExchangeResult &result, AttemptEnd end) const;
    bool finishAttempt(Job &job, const Placement &placement, core::MonoTime startedAt,
                       ExchangeResult result);
    core::Micros hedgeDelay(const Job &job, core::MonoTime now);
    std::optional<Placement> placeHedge(Job &job, const Placement &first, core::MonoTime startedAt,
                                        const HttpRequest &sent);
    AttemptPlan planHedge(Job &job, const Placement &placement, core::MonoTime now,
                          const HttpRequest &sent) const;
    void recordAttempt(Job &job, const Placement &placement, core::MonoTime startedAt,
                       const ExchangeResult &result);
    bool settleRequest(Job &job, ExchangeResult result);
    void hedgeEnded(Job &job, HedgeOutcome outcome, const HedgedAttempt<Placement> &first,
                    const HedgedAttempt<Placement> &second);
    bool promisesNotExecuted(const Job &job) const;
    void refuseAsUnknown(Job &job);
    void finishRequest(const Job &job);
    std::string zoneOfLastUpstream(const Job &job) const;

    bool findRoute(Job &job);
    bool findAccount(Job &job);
    bool findRegions(Job &job);
    bool narrowRegions(Job &job) const;
    bool checkLimit(Job &job);
    asio::awaitable<PlacementResult> choosePlacement(Job &job);
    asio::awaitable<std::optional<PlacementResult>> waitForPlacement(Job &job, WaitTicket ticket,
                                                                     core::MonoTime now);
    void wakeWaiters(std::vector<DispatchDecision> decided);
    HttpRequest buildForwardRequest(const Job &job, const Placement &placement,
                                    core::MonoTime now) const;
    ResponseFilter responseFilter(const HttpRequest &request) const;
    ExchangeOptions exchangeOptions(Job &job, const Placement &placement, core::MonoTime now);
    HedgeDecision grantHedge(Job &job, const Placement &first, core::MonoTime now);
    void countHedge(const Job &job, std::string_view outcome, std::string_view reason);
    void limitDeadline(Job &job) const;
    bool reserveResponse(Job &job);
    std::shared_ptr<BodyReservation> responseBody(Job &job) const;
    std::size_t expectedResponse(const Job &job) const;
    void observeResponseSize(const Job &job, const ExchangeResult &result);
    void refuse(Job &job, const Refusal &refusal);
    core::Micros busyRetryAfter(const Job &job);
    void refuseUnplaced(Job &job, PlacementFailure reason);
    void refuseAfterFailure(Job &job, AttemptEnd end);
    void logTrial(const Job &job, const Placement &placement);
    void reportAttempt(const Job &job, const Placement &placement, const AttemptRecord &record,
                       const ExchangeResult &result);

    Parts parts_;
    RequestFlowOptions options_;
    Dispatcher<UpstreamTable> dispatcher_;
    std::map<WaitTicket, std::shared_ptr<Waiter>> waiters_;
    RequestLoop<RequestFlow> loop_;
    SplitSelector splits_;
    std::mt19937_64 random_; ///< For the jitter of Retry-After.
    std::shared_ptr<const RouteTable> table_;
    core::Phase phase_ = core::Phase::Serving;
    BodyGauges bodyGauges_;
    ResponseSizes responseSizes_;
    std::optional<core::MonoTime> lastResponseAt_; ///< Set while this VM shuts down.
};

} // namespace teaselreach::proxy
