/** @file execution_evidence_test.cpp A refusal promises "not executed" only where that is proved.
 */
#include "proxy/request_loop_base.h"
#include "standins/raw_server.h"

#include <doctest/doctest.h>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

ExecutionEvidence evidenceOf(const std::vector<AttemptEnd> &ends)
{
    ExecutionEvidence evidence;
    for (const AttemptEnd end : ends) {
        AttemptMark mark;
        evidence.attemptStarted(mark);
        evidence.attemptEnded(mark, {.end = end, .status = 503});
    }
    return evidence;
}

/** A policy that refuses each request with 503 after its attempt, whatever the attempt did. */
struct CarelessPolicy
{
    struct Job
    {
        std::shared_ptr<CallerExchange> exchange;
    };
    using Place = http::Target;

    Job createJob(const std::shared_ptr<CallerExchange> &exchange) const { return {exchange}; }
    asio::awaitable<bool> admit(Job & /*job*/) const { co_return true; }
    asio::awaitable<std::optional<Place>> place(Job & /*job*/) const { co_return target; }
    AttemptPlan planAttempt(Job & /*job*/, const Place &chosen, core::MonoTime now) const
    {
        AttemptPlan plan {.target = chosen, .request = {}, .options = {.deadline = now + timeout}};
        plan.request.target("/");
        plan.request.prepare_payload();
        return plan;
    }
    AttemptVerdict judge(const ExchangeResult &result) const
    {
        const bool connected = result.failure != ExchangeFailure::NotConnected;
        return {.end = connected ? AttemptEnd::Broken : AttemptEnd::NotSent};
    }
    bool mayReuseConnection(const ExchangeResult & /*result*/) const { return false; }
    bool finishAttempt(Job &job, const Place & /*chosen*/, core::MonoTime /*startedAt*/,
                       ExchangeResult /*result*/) const
    {
        job.exchange->response.result(beasthttp::status::service_unavailable);
        return false;
    }
    bool promisesNotExecuted(const Job &job) const
    {
        return job.exchange->response.result() == beasthttp::status::service_unavailable;
    }
    void refuseAsUnknown(Job &job) const
    {
        job.exchange->response.result(beasthttp::status::bad_gateway);
    }
    void finishRequest(const Job & /*job*/) const { }

    http::Target target;
    core::Micros timeout {core::Seconds(2)};
};

/** @return The status that a caller gets after one attempt at a server. */
unsigned statusAfterAttemptAt(const http::Target &target)
{
    asio::io_context context;
    CarelessPolicy policy {.target = target};
    RequestLoop<CarelessPolicy> loop(context, policy);
    const auto exchange = std::make_shared<CallerExchange>();
    spawn(context, "serve", [&] { return loop.serve(exchange); });
    context.run();
    return exchange->response.result_int();
}

} // namespace

TEST_CASE("an attempt that may have run is forgotten after a later one that was refused")
{
    using End = AttemptEnd;
    CHECK(evidenceOf({}).proof() == ExecutionProof::NothingSent);
    CHECK(evidenceOf({End::NotSent, End::NotSent}).proof() == ExecutionProof::NothingSent);
    CHECK(evidenceOf({End::NotSent, End::NotExecuted}).proof() == ExecutionProof::RefusedUpstream);
    CHECK(evidenceOf({End::Misdirected, End::NotSent}).proof() == ExecutionProof::RefusedUpstream);
    for (const End unknown : {End::Answered, End::ServerError, End::UnprovenRefusal, End::Broken,
                              End::TimedOut, End::CallerLeft}) {
        CAPTURE(attemptEndName(unknown));
        CHECK(evidenceOf({unknown}).mayHaveExecuted());
        CHECK(evidenceOf({unknown, End::NotExecuted, End::Misdirected, End::NotSent}).proof()
              == ExecutionProof::None);
        CHECK(evidenceOf({End::NotExecuted, unknown}).proof() == ExecutionProof::None);
    }
}

TEST_CASE("an attempt without a verdict counts as not sent")
{
    ExecutionEvidence evidence = evidenceOf({AttemptEnd::NotExecuted});
    AttemptMark mark;
    evidence.attemptStarted(mark);
    CHECK(evidence.proof() == ExecutionProof::None);
}

TEST_CASE("of two attempts in flight, the refusal of one counts for both")
{
    for (const AttemptEnd other : {AttemptEnd::Superseded, AttemptEnd::NotExecuted}) {
        ExecutionEvidence evidence;
        AttemptMark first;
        AttemptMark second;
        evidence.attemptStarted(first);
        evidence.attemptStarted(second);
        for (int i = 0; i < 2; ++i)
            evidence.attemptEnded(second, {.end = AttemptEnd::NotExecuted});
        CHECK(evidence.mayHaveExecuted());
        evidence.attemptEnded(first, {.end = other});
        CHECK(evidence.mayHaveExecuted() == (other == AttemptEnd::Superseded));
    }
}

TEST_CASE("a refusal after an attempt that may have run leaves with a promise")
{
    standins::RawServer closing("127.0.0.1", [](const standins::RawRequest &) {
        return standins::RawReply {.bytes = "", .close = true};
    });
    CHECK(statusAfterAttemptAt({.address = closing.address(), .port = closing.port()}) == 502);
    CHECK(closing.requests() == 1);
}

TEST_CASE("a refusal of a request that was never sent loses its promise")
{
    // Nothing listens on port 1 of this address.
    CHECK(statusAfterAttemptAt({.address = "127.0.0.9", .port = 1}) == 503);
}
