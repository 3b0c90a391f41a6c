/** @file request_loop_base.h Drives requests through admission, placement and attempts. */
#pragma once

#include "core/log_func.h"
#include "proxy/event_loop_func.h"
#include "proxy/request_loop_type.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <set>

namespace teaselreach::proxy {

/** Serves requests according to a policy and owns the idle connections to upstreams. */
template <typename Policy>
class RequestLoop
{
public:
    /** @param context The event loop. @param policy Makes the decisions; must outlive the loop.
     * @param connections Limits of the idle connections. */
    RequestLoop(asio::io_context &context, Policy &policy, ConnectionPoolOptions connections = {})
        : context_(context)
        , policy_(policy)
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

    /** An attempt in progress. */
    struct Attempt
    {
        core::MonoTime startedAt = core::MonoClock::now();
        core::MonoTime endedAt {}; ///< Set by judgeRaced().
        std::shared_ptr<ExchangeCanceller> canceller = std::make_shared<ExchangeCanceller>();
        AttemptPlan plan;
        std::unique_ptr<HttpConnection> connection;
        AttemptMark mark;
        // The policy has to learn of the end of each attempt, also of one that failed here.
        ExchangeResult result {.failure = ExchangeFailure::Cancelled};
        bool ended = false;                ///< Whether the exchange of a raced attempt has ended.
        std::optional<AttemptEnd> verdict; ///< Of a raced attempt.
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    /** Makes one attempt, and possibly a hedge. @param contacted Servers of earlier attempts; those
     * of these attempts are added. @return Whether another attempt follows. */
    asio::awaitable<bool> attempt(auto &job, std::shared_ptr<CallerExchange> exchange,
                                  const auto &place, std::set<http::Target> &contacted)
    {
        Attempt attempt;
        if (exchange->callerLeft)
            attempt.canceller->cancel();
        cancellers_.insert(attempt.canceller);
        core::Micros hedgeDelay {0};
        try {
            attempt.plan = policy_.planAttempt(job, place, attempt.startedAt);
            if (attempt.plan.cancelOnCallerLeft)
                exchange->onCallerLeft = [canceller = attempt.canceller] { canceller->cancel(); };
            openConnection(attempt, *exchange, contacted);
            if constexpr (requires { Policy::mayHedge; })
                hedgeDelay = policy_.hedgeDelay(job, attempt.startedAt);
            if (hedgeDelay <= core::Micros(0))
                attempt.result = co_await attempt.connection->exchange(
                    attempt.plan.request, attempt.plan.options, attempt.canceller,
                    attempt.plan.filter);
        } catch (const std::exception &error) {
            core::reportTaskFailure("attempt", std::current_exception());
            attempt.result.detail = error.what();
        }
        if constexpr (requires { Policy::mayHedge; }) {
            if (hedgeDelay > core::Micros(0))
                co_return co_await attemptWithHedge(job, exchange, place,
                                                    std::make_shared<Attempt>(std::move(attempt)),
                                                    hedgeDelay, contacted);
        }
        exchange->evidence.attemptEnded(attempt.mark, policy_.judge(attempt.result));
        closeAttempt(attempt);
        BodyReservation body = std::move(attempt.result.body);
        const bool again =
            policy_.finishAttempt(job, place, attempt.startedAt, std::move(attempt.result));
        if (!again)
            exchange->responseBody = std::move(body);
        co_return again;
    }

    /** Prepares the connection of an attempt, which counts as sent from now on. */
    void openConnection(Attempt &attempt, CallerExchange &exchange,
                        std::set<http::Target> &contacted)
    {
        const AttemptPlan &plan = attempt.plan;
        // On a kept connection, a second copy of an earlier response to this very request could not
        // be told from the response to this attempt.
        const bool isRepeat = !contacted.insert(plan.target).second;
        attempt.connection = isRepeat
            ? connections_.open(plan.target)
            : connections_.acquire(attempt.startedAt, plan.target, plan.maxIdle);
        attempt.result.failure = ExchangeFailure::Broken;
        exchange.evidence.attemptStarted(attempt.mark);
    }

    /** Returns what an attempt whose exchange has ended has borrowed. */
    void closeAttempt(Attempt &attempt)
    {
        cancellers_.erase(attempt.canceller);
        if (attempt.plan.bodyOwner != nullptr)
            *attempt.plan.bodyOwner = std::move(attempt.plan.request.body());
        // A connection whose response cannot be trusted carries no further request.
        if (attempt.connection && policy_.mayReuseConnection(attempt.result))
            connections_.release(core::MonoClock::now(), std::move(attempt.connection));
    }

    /** Runs an attempt. If it is still in flight after the delay, a hedge may follow; the first
     * good response wins, and the other attempt is cancelled. @return Whether another attempt
     * follows. */
    asio::awaitable<bool> attemptWithHedge(auto &job, std::shared_ptr<CallerExchange> exchange,
                                           const auto &place, AttemptPtr first, core::Micros delay,
                                           std::set<http::Target> &contacted)
    {
        static_assert(HedgingPolicy<Policy>);
        const auto changed = std::make_shared<asio::steady_timer>(context_);
        const auto second = std::make_shared<Attempt>();
        const CancelAtEnd cancelAtEnd {first->canceller, second->canceller};
        run(first, changed);
        const auto firstEnded = [&] { return first->ended; };
        co_await waitUntil(*changed, first->startedAt + delay, firstEnded);
        std::optional<typename Policy::Place> hedgePlace;
        if (!first->ended && !first->canceller->cancelled())
            hedgePlace = policy_.placeHedge(job, place, first->startedAt, first->plan.request);
        if (!hedgePlace) {
            co_await waitUntil(*changed, core::MonoTime::max(), firstEnded);
            const Raced only {first, place};
            judgeRaced(*first, *exchange);
            record(job, only);
            co_return settle(job, *exchange, *first);
        }
        startHedge(job, *exchange, *hedgePlace, *first, second, contacted);
        if (!second->ended)
            run(second, changed);
        const std::array<Raced, 2> both {Raced {first, place}, Raced {second, *hedgePlace}};
        while (true) {
            const auto anyEnded = [&] {
                return std::any_of(both.begin(), both.end(), [](const Raced &raced) {
                    return raced.attempt->ended && !raced.attempt->verdict;
                });
            };
            co_await waitUntil(*changed, core::MonoTime::max(), anyEnded);
            if (const auto again = decideRace(job, *exchange, both))
                co_return *again;
        }
    }

    /** Plans a hedge and prepares its connection. If that fails, the hedge counts as ended. */
    void startHedge(auto &job, CallerExchange &exchange, const typename Policy::Place &place,
                    const Attempt &first, const AttemptPtr &hedge,
                    std::set<http::Target> &contacted)
    {
        hedge->startedAt = core::MonoClock::now();
        cancellers_.insert(hedge->canceller);
        try {
            hedge->plan = policy_.planHedge(job, place, hedge->startedAt, first.plan.request);
            if (hedge->plan.cancelOnCallerLeft)
                exchange.onCallerLeft = [one = first.canceller, other = hedge->canceller] {
                    one->cancel();
                    other->cancel();
                };
            openConnection(*hedge, exchange, contacted);
        } catch (const std::exception &error) {
            core::reportTaskFailure("hedge", std::current_exception());
            hedge->result.detail = error.what();
            hedge->ended = true;
        }
    }

    /** Cancels the exchanges of a race that are still in progress when the request no longer waits
     * for them, also after an exception. */
    struct CancelAtEnd
    {
        CancelAtEnd(std::shared_ptr<ExchangeCanceller> first,
                    std::shared_ptr<ExchangeCanceller> second)
            : first_(std::move(first))
            , second_(std::move(second))
        { }
        ~CancelAtEnd()
        {
            first_->cancel();
            second_->cancel();
        }
        CancelAtEnd(const CancelAtEnd &) = delete;
        CancelAtEnd &operator=(const CancelAtEnd &) = delete;

    private:
        std::shared_ptr<ExchangeCanceller> first_;
        std::shared_ptr<ExchangeCanceller> second_;
    };

    /** An attempt of a race and its place. */
    struct Raced
    {
        AttemptPtr attempt;
        const typename Policy::Place &place;
    };

    /** Judges the attempts of a race that have ended. @return Whether another attempt follows;
     * nothing while the race goes on. */
    std::optional<bool> decideRace(auto &job, CallerExchange &exchange,
                                   const std::array<Raced, 2> &both)
    {
        for (std::size_t i = 0; i < both.size(); ++i) {
            const Raced &ended = both[i];
            const Raced &other = both[1 - i];
            if (!ended.attempt->ended || ended.attempt->verdict)
                continue;
            judgeRaced(*ended.attempt, exchange);
            if (ended.attempt->verdict == AttemptEnd::Answered) {
                if (!other.attempt->verdict) {
                    supersede(*other.attempt, exchange);
                    record(job, other);
                }
                record(job, ended);
                reportRace(job, i == 0 ? HedgeOutcome::Lost : HedgeOutcome::Won, both);
                return settle(job, exchange, *ended.attempt);
            }
            record(job, ended);
            if (!other.attempt->verdict)
                continue;
            const bool cancelled = ended.attempt->verdict == AttemptEnd::CallerLeft;
            reportRace(job, cancelled ? HedgeOutcome::Cancelled : HedgeOutcome::Failed, both);
            // A server error is a response of the upstream, which tells the caller more.
            const bool otherDecides = other.attempt->verdict == AttemptEnd::ServerError
                && ended.attempt->verdict != AttemptEnd::ServerError;
            return settle(job, exchange, otherDecides ? *other.attempt : *ended.attempt);
        }
        return std::nullopt;
    }

    /** Starts the exchange of a raced attempt. @param changed Cancelled when it ends. */
    void run(const AttemptPtr &attempt, const std::shared_ptr<asio::steady_timer> &changed)
    {
        // The exchange of a loser may end after its request, which the policy then no longer knows.
        attempt->plan.options.mayAbandon = [canceller = attempt->canceller,
                                            mayAbandon =
                                                std::move(attempt->plan.options.mayAbandon)] {
            return canceller->cancelled() || (mayAbandon && mayAbandon());
        };
        spawn(context_, "attempt", [attempt, changed] { return exchangeRaced(attempt, changed); });
    }

    /** The exchange of a raced attempt. Uses nothing that ends with the request. */
    static asio::awaitable<void> exchangeRaced(AttemptPtr attempt,
                                               std::shared_ptr<asio::steady_timer> changed)
    {
        try {
            attempt->result =
                co_await attempt->connection->exchange(attempt->plan.request, attempt->plan.options,
                                                       attempt->canceller, attempt->plan.filter);
        } catch (const std::exception &error) {
            core::reportTaskFailure("attempt", std::current_exception());
            attempt->result.detail = error.what();
        }
        attempt->ended = true;
        changed->cancel();
    }

    /** Waits until a time, or until a condition holds that may change when the timer is cancelled.
     */
    static asio::awaitable<void> waitUntil(asio::steady_timer &changed, core::MonoTime time,
                                           auto condition)
    {
        while (!condition()) {
            const core::MonoTime now = core::MonoClock::now();
            if (now >= time)
                co_return;
            if (time == core::MonoTime::max())
                changed.expires_at(asio::steady_timer::time_point::max());
            else
                changed.expires_after(time - now);
            ErrorCode cancelled; // The condition is checked in both cases.
            co_await changed.async_wait(captureError(cancelled));
        }
    }

    /** Gives its verdict to a raced attempt whose exchange has ended. */
    void judgeRaced(Attempt &attempt, CallerExchange &exchange)
    {
        const AttemptVerdict verdict = policy_.judge(attempt.result);
        exchange.evidence.attemptEnded(attempt.mark, verdict);
        attempt.verdict = verdict.end;
        attempt.endedAt = core::MonoClock::now();
        closeAttempt(attempt);
    }

    /** Cancels the loser of a race and closes its connection. Its exchange ends by itself, so it
     * keeps its request's body until then. */
    void supersede(Attempt &attempt, CallerExchange &exchange)
    {
        cancellers_.erase(attempt.canceller);
        attempt.canceller->cancel();
        if (!attempt.ended)
            attempt.result = {.failure = ExchangeFailure::Superseded};
        const AttemptVerdict verdict = policy_.judge(attempt.result);
        exchange.evidence.attemptEnded(attempt.mark, verdict);
        attempt.verdict = verdict.end;
        attempt.endedAt = core::MonoClock::now();
    }

    void record(auto &job, const Raced &raced)
    {
        policy_.recordAttempt(job, raced.place, raced.attempt->startedAt, raced.attempt->result);
    }

    void reportRace(auto &job, HedgeOutcome outcome, const std::array<Raced, 2> &both)
    {
        const auto view = [](const Raced &raced) {
            const Attempt &attempt = *raced.attempt;
            return HedgedAttempt<typename Policy::Place> {.place = raced.place,
                                                          .end = *attempt.verdict,
                                                          .startedAt = attempt.startedAt,
                                                          .endedAt = attempt.endedAt};
        };
        policy_.hedgeEnded(job, outcome, view(both[0]), view(both[1]));
    }

    /** Decides on a request by the result of a recorded attempt. @return Whether another follows.
     */
    bool settle(auto &job, CallerExchange &exchange, Attempt &attempt)
    {
        BodyReservation body = std::move(attempt.result.body);
        const bool again = policy_.settleRequest(job, std::move(attempt.result));
        if (!again)
            exchange.responseBody = std::move(body);
        return again;
    }

    asio::io_context &context_;
    Policy &policy_;
    ConnectionPool connections_;
    std::set<std::shared_ptr<ExchangeCanceller>> cancellers_; ///< Of the attempts in progress.
};

} // namespace teaselreach::proxy
