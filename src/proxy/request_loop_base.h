/** @file request_loop_base.h Carries requests out: admission, placement and attempts in turn. */
#pragma once

#include "proxy/caller_session_base.h"
#include "proxy/http_link_base.h"

#include <concepts>
#include <memory>
#include <optional>

namespace teaselreach::proxy {

/** One attempt at an upstream, as a policy wants it. */
struct AttemptPlan
{
    http::Target target;
    HttpRequest request;
    ExchangeOptions options;
    ResponseFilter filter; ///< Accepts the answer; may be empty.
    /** Longest idle time that a kept connection may have had. */
    core::Micros maxIdle = core::Micros::max();
    bool cancelOnCallerLeft = false; ///< The attempt is given up once the caller has left.
};

/**
 * What a RequestLoop asks of the side that decides. Everything is called on the event loop.
 * createJob() starts a request. admit() finds its route and account and asks the limits; place()
 * chooses an upstream, and both may wait; if they say no, the exchange holds the refusal.
 * finishAttempt() learns from an attempt and either fills the answer or asks for another attempt;
 * it learns also from one whose caller has left. finishRequest() ends a request.
 */
template <typename T>
concept RequestPolicy = requires(T &policy, typename T::Job &job,
                                 const std::shared_ptr<CallerExchange> &exchange,
                                 const typename T::Place &place, core::MonoTime time,
                                 const ExchangeResult &seen, ExchangeResult result)
{
    {
        policy.createJob(exchange)
        } -> std::same_as<typename T::Job>;
    {
        policy.admit(job)
        } -> std::same_as<asio::awaitable<bool>>;
    {
        policy.place(job)
        } -> std::same_as<asio::awaitable<std::optional<typename T::Place>>>;
    {
        policy.planAttempt(job, place, time)
        } -> std::same_as<AttemptPlan>;
    {
        policy.mayReuseConnection(seen)
        } -> std::same_as<bool>;
    {
        policy.finishAttempt(job, place, time, std::move(result))
        } -> std::same_as<bool>;
    {
        policy.finishRequest(job)
        } -> std::same_as<void>;
};

/** The request path of every daemon, and the connections to upstreams. */
template <typename Policy>
class RequestLoop
{
public:
    /** @param context The event loop. @param policy What decides; must outlive the object.
     * @param connections Bounds of the kept connections. */
    RequestLoop(asio::io_context &context, Policy &policy, ConnectionPoolOptions connections = {})
        : policy_(policy)
        , connections_(context, connections)
    { }

    /** Carries out one request and fills its answer. */
    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange)
    {
        static_assert(RequestPolicy<Policy>);
        auto job = policy_.createJob(exchange);
        if (co_await policy_.admit(job)) {
            bool again = true;
            while (again) {
                const auto place = co_await policy_.place(job);
                if (!place)
                    break;
                again = co_await attempt(job, exchange, *place);
            }
        }
        exchange->onCallerLeft = nullptr;
        policy_.finishRequest(job);
    }

    /** Closes kept connections that are of no use any more. */
    void closeStaleConnections(core::MonoTime now) { connections_.closeStale(now); }

private:
    /** Makes one attempt. @return Whether another is to follow. */
    asio::awaitable<bool> attempt(auto &job, std::shared_ptr<CallerExchange> exchange,
                                  const auto &place)
    {
        const core::MonoTime startedAt = core::MonoClock::now();
        const AttemptPlan plan = policy_.planAttempt(job, place, startedAt);
        std::unique_ptr<HttpConnection> connection =
            connections_.acquire(startedAt, plan.target, plan.maxIdle);
        const auto canceller = std::make_shared<ExchangeCanceller>();
        if (exchange->callerLeft)
            canceller->cancel();
        if (plan.cancelOnCallerLeft)
            exchange->onCallerLeft = [canceller] { canceller->cancel(); };
        ExchangeResult result =
            co_await connection->exchange(plan.request, plan.options, canceller, plan.filter);
        // A connection with an answer that cannot be trusted carries no further request.
        if (policy_.mayReuseConnection(result))
            connections_.release(core::MonoClock::now(), std::move(connection));
        co_return policy_.finishAttempt(job, place, startedAt, std::move(result));
    }

    Policy &policy_;
    ConnectionPool connections_;
};

} // namespace teaselreach::proxy
