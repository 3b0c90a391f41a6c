/** @file request_loop_base.h Carries requests out: admission, placement and attempts in turn. */
#pragma once

#include "proxy/caller_session_base.h"
#include "proxy/http_link_base.h"

#include <concepts>
#include <memory>
#include <optional>

namespace teaselreach::proxy {

/** One attempt at an upstream, as a model wants it. */
struct AttemptPlan
{
    http::Target target;
    HttpRequest request;
    LinkOptions times;
    AnswerFilter filter; ///< Accepts the answer; may be empty.
    /** Longest idle time that a kept connection may have had. */
    core::Micros maxIdle = core::Micros::max();
    bool endsWithCaller = false; ///< The attempt is given up once the caller has left.
};

/**
 * What a RequestLoop asks of the side that decides. Everything is called on the event loop.
 * open() starts a request. admit() finds its route and account and asks the limits; place() chooses
 * an upstream, and both may wait; if they say no, the exchange holds the refusal. settle() learns
 * from an attempt and either fills the answer or asks for another attempt; it learns also from one
 * whose caller has left. close() ends a request.
 */
template <typename T>
concept RequestModel = requires(T &model, typename T::Job &job,
                                const std::shared_ptr<CallerExchange> &exchange,
                                const typename T::Place &place, core::MonoTime time,
                                const LinkResult &seen, LinkResult result)
{
    {
        model.open(exchange)
        } -> std::same_as<typename T::Job>;
    {
        model.admit(job)
        } -> std::same_as<asio::awaitable<bool>>;
    {
        model.place(job)
        } -> std::same_as<asio::awaitable<std::optional<typename T::Place>>>;
    {
        model.plan(job, place, time)
        } -> std::same_as<AttemptPlan>;
    {
        model.isTrusted(seen)
        } -> std::same_as<bool>;
    {
        model.settle(job, place, time, std::move(result))
        } -> std::same_as<bool>;
    {
        model.close(job)
        } -> std::same_as<void>;
};

/** The request path of every daemon, and the connections to upstreams. */
template <typename Model>
class RequestLoop
{
public:
    /** @param context The event loop. @param model What decides; must outlive the object.
     * @param links Bounds of the kept connections. */
    RequestLoop(asio::io_context &context, Model &model, LinkPoolOptions links = {})
        : model_(model)
        , links_(context, links)
    { }

    /** Carries out one request and fills its answer. */
    asio::awaitable<void> serve(std::shared_ptr<CallerExchange> exchange)
    {
        static_assert(RequestModel<Model>);
        auto job = model_.open(exchange);
        if (co_await model_.admit(job)) {
            bool again = true;
            while (again) {
                const auto place = co_await model_.place(job);
                if (!place)
                    break;
                again = co_await attempt(job, exchange, *place);
            }
        }
        exchange->onCallerLeft = nullptr;
        model_.close(job);
    }

    /** Closes kept connections that are of no use any more. */
    void closeStaleLinks(core::MonoTime now) { links_.closeStale(now); }

private:
    /** Makes one attempt. @return Whether another is to follow. */
    asio::awaitable<bool> attempt(auto &job, std::shared_ptr<CallerExchange> exchange,
                                  const auto &place)
    {
        const core::MonoTime startedAt = core::MonoClock::now();
        const AttemptPlan plan = model_.plan(job, place, startedAt);
        std::unique_ptr<HttpLink> link = links_.take(startedAt, plan.target, plan.maxIdle);
        const auto canceller = std::make_shared<LinkCanceller>();
        if (exchange->callerLeft)
            canceller->cancel();
        if (plan.endsWithCaller)
            exchange->onCallerLeft = [canceller] { canceller->cancel(); };
        LinkResult result =
            co_await link->exchange(plan.request, plan.times, canceller, plan.filter);
        // A connection with an answer that cannot be trusted carries no further request.
        if (model_.isTrusted(result))
            links_.give(core::MonoClock::now(), std::move(link));
        co_return model_.settle(job, place, startedAt, std::move(result));
    }

    Model &model_;
    LinkPool links_;
};

} // namespace teaselreach::proxy
