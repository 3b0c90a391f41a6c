/** @file request_loop_type.h The decisions that a RequestLoop delegates, and their data. */
#pragma once

#include "placement/hedge_policy_base.h"
#include "proxy/caller_session_base.h"
#include "proxy/http_connection_base.h"

#include <concepts>
#include <memory>
#include <optional>
#include <string>

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
    BodyReservation bodyCopy;        ///< What a copy of the request's body has taken.
};

/** One of the two attempts of a hedged request, as far as reports need it. */
template <typename Place>
struct HedgedAttempt
{
    const Place &place;
    AttemptEnd end = AttemptEnd::Broken;
    core::MonoTime startedAt {};
    core::MonoTime endedAt {};
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

/**
 * A RequestPolicy that sends hedges has a constant mayHedge with the value true, and:
 *  - hedgeDelay() returns the time after the start of an attempt at which a hedge is considered, or
 *    zero for never.
 *  - placeHedge() chooses the upstream of a hedge for an attempt that is still in flight, unless a
 *    rule denies it, and planHedge() describes the hedge. Both get the request that the first
 *    attempt sends. The hedge needs its own copy of the body.
 *  - recordAttempt() records the result of one of the attempts, and settleRequest() decides on the
 *    request by the result of one that was recorded. finishAttempt() is the same as both.
 *  - hedgeEnded() is called once both attempts have ended.
 */
template <typename T>
concept HedgingPolicy = RequestPolicy<T> && requires(
    T &policy, typename T::Job &job, const typename T::Place &place, core::MonoTime time,
    const HttpRequest &request, const ExchangeResult &seen, ExchangeResult result,
    HedgeOutcome outcome, const HedgedAttempt<typename T::Place> &attempt)
{
    {
        policy.hedgeDelay(job, time)
        } -> std::same_as<core::Micros>;
    {
        policy.placeHedge(job, place, time, request)
        } -> std::same_as<std::optional<typename T::Place>>;
    {
        policy.planHedge(job, place, time, request)
        } -> std::same_as<AttemptPlan>;
    {
        policy.recordAttempt(job, place, time, seen)
        } -> std::same_as<void>;
    {
        policy.settleRequest(job, std::move(result))
        } -> std::same_as<bool>;
    {
        policy.hedgeEnded(job, outcome, attempt, attempt)
        } -> std::same_as<void>;
};

} // namespace teaselreach::proxy
