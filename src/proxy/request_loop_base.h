/** @file request_loop_base.h Drives requests through admission, placement and attempts. */
#pragma once

#include "core/log_func.h"
#include "proxy/caller_session_base.h"
#include "proxy/event_loop_func.h"
#include "proxy/http_connection_base.h"

#include <concepts>
#include <memory>
#include <optional>
#include <set>

namespace teaselreach::proxy {

/** What a RequestPolicy decided about one attempt at an upstream. */
struct AttemptPlan
{
    http::Target target;
    HttpRequest request;
    /** Gets the request's body back after the attempt, unless it is nullptr. */
    std::string *bodyOwner = nullptr;
    ExchangeOptions options;
    ResponseFilter filter; ///< Recognizes the response; may be empty.
    /** Longest idle time of a connection that is reused. */
    core::Micros maxIdle = core::Micros::max();
    bool cancelOnCallerLeft = false; ///< Cancel the attempt when the caller disconnects.
};

/**
 * The decisions that a RequestLoop delegates. All functions are called on the event loop.
 *  - createJob() makes the state of a new request.
 *  - admit() finds its route and account and applies the limits, and place() chooses an upstream.
 *    Both may wait. Without admission or placement, they fill the response with the refusal.
 *  - planAttempt() describes the attempt at the chosen upstream.
 *  - judge() reads from the result of an attempt whether it may have executed the request.
 *  - mayReuseConnection() tells whether the connection of an attempt may carry another request.
 *  - finishAttempt() records the result of an attempt, also if the caller has left, and returns
 *    whether another attempt follows; if not, it fills the response.
 *  - promisesNotExecuted() tells whether callers take the response as the promise that the request
 *    has not been executed and never will be. refuseAsUnknown() replaces it by one that promises
 *    nothing.
 *  - finishRequest() is called at the end of each request.
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
        policy.judge(seen)
        } -> std::same_as<AttemptVerdict>;
    {
        policy.mayReuseConnection(seen)
        } -> std::same_as<bool>;
    {
        policy.finishAttempt(job, place, time, std::move(result))
        } -> std::same_as<bool>;
    {
        policy.promisesNotExecuted(job)
        } -> std::same_as<bool>;
    {
        policy.refuseAsUnknown(job)
        } -> std::same_as<void>;
    {
        policy.finishRequest(job)
        } -> std::same_as<void>;
};

/** Serves requests according to a policy and owns the idle connections to upstreams. */
template <typename Policy>
class RequestLoop
{
public:
    /** @param context The event loop. @param policy Makes the decisions; must outlive the loop.
     * @param connections Limits of the idle connections. */
    RequestLoop(asio::io_context &context, Policy &policy, ConnectionPoolOptions connections = {})
        : policy_(policy)
        , connections_(context, std::move(connections))
    { }

    /** Serves one request and fills its response. */
    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange)
    {
        static_assert(RequestPolicy<Policy>);
        auto job = policy_.createJob(exchange);
        if (co_await policy_.admit(job)) {
            std::set<http::Target> contacted;
            bool again = true;
            while (again) {
                const auto place = co_await policy_.place(job);
                if (!place)
                    break;
                again = co_await attempt(job, exchange, *place, contacted);
            }
        }
        exchange->onCallerLeft = nullptr;
        withholdUnprovenPromise(job, *exchange);
        policy_.finishRequest(job);
    }

    /** Closes idle connections that can no longer be reused. */
    void closeStaleConnections(core::MonoTime now) { connections_.closeStale(now); }
    /** Cancels all attempts in progress. The policy decides on them as on any cancelled one. */
    void cancelAttempts()
    {
        const std::set<std::shared_ptr<ExchangeCanceller>> all = cancellers_;
        for (const auto &canceller : all)
            canceller->cancel();
    }

private:
    /** The last check before a response leaves: whatever chose it, it must not promise what the
     * attempts do not prove. */
    void withholdUnprovenPromise(auto &job, const CallerExchange &exchange)
    {
        if (!exchange.evidence.mayHaveExecuted() || !policy_.promisesNotExecuted(job))
            return;
        core::logEvent(core::LogLevel::Error, "unproven_promise_withheld",
                       {{"status", static_cast<std::int64_t>(exchange.response.result_int())}});
        policy_.refuseAsUnknown(job);
    }

    /** Makes one attempt. @param contacted Servers of earlier attempts; the one of this attempt is
     * added. @return Whether another attempt follows. */
    asio::awaitable<bool> attempt(auto &job, std::shared_ptr<CallerExchange> exchange,
                                  const auto &place, std::set<http::Target> &contacted)
    {
        const core::MonoTime startedAt = core::MonoClock::now();
        std::unique_ptr<HttpConnection> connection;
        const auto canceller = std::make_shared<ExchangeCanceller>();
        if (exchange->callerLeft)
            canceller->cancel();
        cancellers_.insert(canceller);
        // The policy has to learn of the end of each attempt, also of one that failed here.
        ExchangeResult result {.failure = ExchangeFailure::Cancelled};
        AttemptPlan plan;
        try {
            plan = policy_.planAttempt(job, place, startedAt);
            if (plan.cancelOnCallerLeft)
                exchange->onCallerLeft = [canceller] { canceller->cancel(); };
            // On a kept connection, a second copy of an earlier response to this very request could
            // not be told from the response to this attempt.
            const bool isRepeat = !contacted.insert(plan.target).second;
            connection = isRepeat ? connections_.open(plan.target)
                                  : connections_.acquire(startedAt, plan.target, plan.maxIdle);
            result.failure = ExchangeFailure::Broken;
            exchange->evidence.attemptStarted();
            result =
                co_await connection->exchange(plan.request, plan.options, canceller, plan.filter);
        } catch (const std::exception &error) {
            core::reportTaskFailure("attempt", std::current_exception());
            result.detail = error.what();
        }
        cancellers_.erase(canceller);
        exchange->evidence.attemptEnded(policy_.judge(result));
        if (plan.bodyOwner != nullptr)
            *plan.bodyOwner = std::move(plan.request.body());
        // A connection whose response cannot be trusted carries no further request.
        if (connection && policy_.mayReuseConnection(result))
            connections_.release(core::MonoClock::now(), std::move(connection));
        BodyReservation body = std::move(result.body);
        const bool again = policy_.finishAttempt(job, place, startedAt, std::move(result));
        if (!again)
            exchange->responseBody = std::move(body);
        co_return again;
    }

    Policy &policy_;
    ConnectionPool connections_;
    std::set<std::shared_ptr<ExchangeCanceller>> cancellers_; ///< Of the attempts in progress.
};

} // namespace teaselreach::proxy
