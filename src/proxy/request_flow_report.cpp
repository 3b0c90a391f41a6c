/** @file request_flow_report.cpp Log lines and metrics of requests. */
#include "core/log_func.h"
#include "proxy/request_flow_internal.h"

namespace teaselreach::proxy {

using namespace detail;

/** Sets the metrics of the retry budgets and queues. */
void RequestFlow::publishMetrics(core::MonoTime now)
{
    dispatcher_.forEachBudget(
        now, [this](const core::ServiceId &service, const RetryBudget &budget, double left) {
            parts_.registry.setGauge("teaselreach_retry_budget_left", {{"service", service.str()}},
                                     left);
            for (const RetryPurpose purpose : retryPurposes) {
                const RetryPurposeCounts &counts = budget.counts(purpose);
                const auto set = [&](const char *result, std::uint64_t count) {
                    parts_.registry.setGauge("teaselreach_retries",
                                             {{"service", service.str()},
                                              {"purpose", std::string(retryPurposeName(purpose))},
                                              {"result", result}},
                                             static_cast<double>(count));
                };
                set("granted", counts.granted);
                set("denied", counts.denied);
            }
        });
    dispatcher_.forEachQueue(
        now, [this](const core::ServiceId &service, std::size_t waiting, double perSecond) {
            const metrics::Labels labels {{"service", service.str()}};
            parts_.registry.setGauge("teaselreach_queue_length", labels,
                                     static_cast<double>(waiting));
            parts_.registry.setGauge("teaselreach_queue_departures_per_second", labels, perSecond);
        });
    for (const core::ServiceId &service : parts_.upstreams.services()) {
        if (const auto bound = parts_.upstreams.byteBoundOf(now, service))
            parts_.registry.setGauge("teaselreach_upstream_byte_limit",
                                     {{"service", service.str()}}, *bound);
    }
    if (options_.bodies)
        bodyGauges_.publish(*options_.bodies, parts_.registry);
    if (!options_.dispatch.prefersRecentSuccess)
        return;
    const RecentSuccessPreference &preference = parts_.upstreams.recentSuccess();
    for (const core::ServiceId &service : parts_.upstreams.services()) {
        const metrics::Labels labels {{"service", service.str()}};
        parts_.registry.setGauge("teaselreach_onset_rate", labels,
                                 preference.onsetRate(now, service));
        parts_.registry.setGauge("teaselreach_recent_success_preferred", labels,
                                 preference.isPreferred(service) ? 1 : 0);
    }
}

void RequestFlow::hedgeEnded(Job &job, HedgeOutcome outcome, const HedgedAttempt<Placement> &first,
                             const HedgedAttempt<Placement> &second)
{
    job.hedgeOutcome = hedgeOutcomeName(outcome);
    countHedge(job, job.hedgeOutcome, "");
    core::logEvent(core::LogLevel::Info, "hedge",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"route", job.request.route->id.str()},
                    {"service", job.request.service.str()},
                    {"outcome", job.hedgeOutcome},
                    {"upstream", first.place.upstream.str()},
                    {"end", attemptEndName(first.end)},
                    {"duration_ms", toMillis(first.endedAt - first.startedAt)},
                    {"hedge_upstream", second.place.upstream.str()},
                    {"hedge_end", attemptEndName(second.end)},
                    {"hedge_duration_ms", toMillis(second.endedAt - second.startedAt)},
                    {"delay_ms", toMillis(second.startedAt - first.startedAt)}});
}

void RequestFlow::countHedge(const Job &job, std::string_view outcome, std::string_view reason)
{
    parts_.registry.addCounter("teaselreach_hedges_total",
                               {{"service", job.request.service.str()},
                                {"outcome", std::string(outcome)},
                                {"reason", std::string(reason)}},
                               1);
}

void RequestFlow::updateHedgeShare(core::MonoTime now)
{
    if (!dispatcher_.hedgingEnabled())
        return;
    for (const core::ServiceId &service : parts_.upstreams.services())
        parts_.registry.setGauge("teaselreach_hedge_share", {{"service", service.str()}},
                                 dispatcher_.hedgeShare(now, service));
}

/** Logs that a request is a trial of an upstream that is believed to be failing. */
void RequestFlow::logTrial(const Job &job, const Placement &placement)
{
    parts_.registry.addCounter("teaselreach_trials_total", {{"service", job.request.service.str()}},
                               1);
    core::logEvent(core::LogLevel::Info, "upstream_trial",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"service", job.request.service.str()},
                    {"upstream", placement.upstream.str()},
                    {"failure_pct", static_cast<std::int64_t>(100 * placement.failureEstimate)}});
}

void RequestFlow::reportAttempt(const Job &job, const Placement &placement,
                                const AttemptRecord &record, const ExchangeResult &result)
{
    parts_.registry.addCounter(
        "teaselreach_attempts_total",
        {{"service", job.request.service.str()}, {"end", std::string(attemptEndName(record.end))}},
        1);
    if (record.end == AttemptEnd::Answered || record.end == AttemptEnd::Superseded)
        return;
    core::logEvent(core::LogLevel::Info, "attempt_failed",
                   {{"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
                    {"service", job.request.service.str()},
                    {"upstream", placement.upstream.str()},
                    {"end", attemptEndName(record.end)},
                    {"detail", result.detail},
                    {"reused", result.reused ? 1 : 0},
                    {"status",
                     result.failure == ExchangeFailure::None
                         ? static_cast<std::int64_t>(result.response.result_int())
                         : 0},
                    {"expected_ms", toMillis(placement.expectedDuration)},
                    {"failure_pct", static_cast<std::int64_t>(100 * placement.failureEstimate)},
                    {"duration_ms", toMillis(record.endedAt - record.startedAt)}});
}

/** @return The zone of the last upstream of a request; empty if there is none or it is gone. */
std::string RequestFlow::zoneOfLastUpstream(const Job &job) const
{
    if (job.request.tried.empty())
        return "";
    const UpstreamEntry *entry = parts_.upstreams.find(job.request.tried.back());
    return entry == nullptr ? "" : entry->availabilityZone.str();
}

void RequestFlow::finishRequest(const Job &job)
{
    const core::MonoTime now = core::MonoClock::now();
    const core::Micros duration = now - job.exchange->receivedAt;
    const std::string route = job.request.route == nullptr ? "" : job.request.route->id.str();
    const std::string account = job.account == nullptr ? "" : job.account->id.str();
    const std::string outcome = job.exchange->callerLeft ? "caller_left" : job.outcome;
    parts_.registry.countRequest({.service = job.request.service,
                                  .account = core::ClientAccountId(account),
                                  .outcome = outcome},
                                 duration, now);
    if (!job.request.service.empty() && outcome != "rate_limited" && outcome != "caller_left")
        parts_.upstreams.requestFinished(now, job.request.service,
                                         outcome == attemptEndName(AttemptEnd::Answered));
    const ExecutionEvidence &evidence = job.exchange->evidence;
    std::vector<core::LogField> fields {
        {"request_id", fieldValue(job.exchange->request, options_.names.attemptId)},
        {"route", route},
        {"account", account},
        {"service", job.request.service.str()},
        {"upstream", job.request.tried.empty() ? std::string() : job.request.tried.back().str()},
        {"upstream_zone", zoneOfLastUpstream(job)},
        {"allowed_regions", job.request.allowedRegions.text()},
        {"sent", job.request.sent},
        {"connect_failures", job.request.connectFailures},
        {"status", static_cast<std::int64_t>(job.exchange->response.result_int())},
        {"outcome", outcome},
        {"config_version", job.table ? job.table->configuration().version.count() : 0},
        {"limit_part_pct", static_cast<std::int64_t>(100 * parts_.shares.effectiveShare())},
        {"waited_ms", toMillis(job.waited)},
        {"duration_ms", toMillis(duration)},
        {"proof", executionProofName(evidence.proof())}};
    if (evidence.proof() == ExecutionProof::RefusedUpstream) {
        const AttemptVerdict &refusal = evidence.refusal();
        fields.emplace_back("proof_status", std::int64_t {refusal.status});
        fields.emplace_back("proof_reused", std::int64_t {refusal.reused});
        fields.emplace_back("proof_named", std::int64_t {refusal.namesRequest});
    }
    if (job.limitReason != AdmissionReason::Admitted)
        fields.emplace_back("limit_reason", admissionReasonName(job.limitReason));
    if (!job.hedgeOutcome.empty())
        fields.emplace_back("hedge", job.hedgeOutcome);
    core::logEvent(core::LogLevel::Info, "request_done", fields);
}

} // namespace teaselreach::proxy
