/** @file limit_service.cpp Distributed rate limits for the requests of one daemon. */
#include "core/digest_func.h"
#include "core/log_func.h"
#include "daemon/limit_service_base.h"
#include "limit/borrow_json_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselreach::daemon {

namespace {

/** Interval of checks for due work that has no pending request, such as returning tokens. */
constexpr core::Millis dueWorkInterval {10};

/** Threads for borrow requests: a home that does not answer blocks one for answerTimeout. */
constexpr int senderThreads = 8;

/** @return The verdict of a final decision. */
AdmissionVerdict verdictOf(limit::Decision decision)
{
    switch (decision) {
    case limit::Decision::Admitted:
        return AdmissionVerdict::Admitted;
    case limit::Decision::LimitUnavailable:
        return AdmissionVerdict::LimitUnavailable;
    case limit::Decision::RateLimited:
    case limit::Decision::Pending:
        return AdmissionVerdict::RateLimited;
    }
    return AdmissionVerdict::RateLimited;
}

} // namespace

LimitService::LimitService(LimitServiceOptions options, const PeerDirectory &directory,
                           rpc::HttpTransport &transport)
    : options_(std::move(options))
    , directory_(directory)
    , transport_(transport)
    , shards_(options_)
    , borrowQueue_({.threads = senderThreads})
    , dueWorkTicker_(dueWorkInterval, [this] { runAllDueWork(); })
{ }

LimitService::~LimitService() = default;

LimitService::Shards::Shards(const LimitServiceOptions &options)
{
    for (std::size_t i = 0; i < shardCount; ++i) {
        // Loan and borrow ids must be unique over all shards of the process.
        const core::Incarnation incarnation(options.incarnation.count() * shardCount + i);
        (*this)[i].state = std::make_unique<limit::LimitState>(options.self, incarnation);
    }
}

AdmissionState LimitService::admit(const record::ClientAccount &account, const record::Limit *limit,
                                   core::MonoTime deadline, std::function<void()> wake)
{
    if (limit == nullptr)
        return {.verdict = AdmissionVerdict::Admitted};
    Shard &shard = shardOf(account.id);
    const std::lock_guard lock(shard.mutex);
    const core::MonoTime now = core::MonoClock::now();
    const core::Micros untilDeadline = std::max(core::Micros(0), deadline - now);
    const core::Micros maxWait = std::min<core::Micros>(options_.maxWait, untilDeadline);
    const limit::AdmissionResult admission = shard.state->tryAdmit(now, account.id, maxWait);
    if (admission.decision != limit::Decision::Pending) {
        applyOutput(shard);
        return {.verdict = verdictOf(admission.decision)};
    }
    // Registered before applyOutput(), which may already resolve the ticket.
    shard.waiters[admission.ticket].wake = std::move(wake);
    applyOutput(shard);
    return pollTicket(
        shard, {.account = account.id, .ticket = admission.ticket, .resolveBy = now + maxWait},
        now);
}

AdmissionState LimitService::checkPending(const PendingAdmission &pending, core::MonoTime now)
{
    Shard &shard = shardOf(pending.account);
    const std::lock_guard lock(shard.mutex);
    shard.state->runDueWork(now);
    applyOutput(shard);
    return pollTicket(shard, pending, now);
}

void LimitService::abandon(const PendingAdmission &pending)
{
    Shard &shard = shardOf(pending.account);
    const std::lock_guard lock(shard.mutex);
    shard.waiters.erase(pending.ticket);
}

/** @return The state of a pending request; removes it if resolved. Requires the shard's lock. */
AdmissionState LimitService::pollTicket(Shard &shard, const PendingAdmission &pending,
                                        core::MonoTime now)
{
    const auto found = shard.waiters.find(pending.ticket);
    std::optional<limit::Decision> decision;
    if (found != shard.waiters.end())
        decision = found->second.decision;
    // LimitState resolves every ticket by `resolveBy`; due work that ran then includes this one.
    if (!decision && now > pending.resolveBy)
        decision = limit::Decision::RateLimited;
    if (decision) {
        shard.waiters.erase(pending.ticket);
        return {.verdict = verdictOf(*decision)};
    }
    const core::MonoTime due = shard.state->nextDue().value_or(pending.resolveBy);
    return {.pending = pending, .nextCheckAt = std::min(due, pending.resolveBy)};
}

/** Resolves the tickets and queues the borrow requests of the output. Requires the shard's lock. */
void LimitService::applyOutput(Shard &shard)
{
    const limit::LimitOutput output = shard.state->takeOutput();
    for (const limit::ResolvedTicket &resolved : output.resolved) {
        const auto found = shard.waiters.find(resolved.ticket);
        if (found == shard.waiters.end())
            continue;
        found->second.decision = resolved.decision;
        found->second.wake();
    }
    for (const limit::OutgoingBorrowRequest &outgoing : output.borrowRequests)
        queueBorrowRequest(shard, outgoing);
}

/** Queues a borrow request for a sender thread. Requires the shard's lock. */
void LimitService::queueBorrowRequest(Shard &shard, const limit::OutgoingBorrowRequest &outgoing)
{
    // If the queue is full, the request counts as unanswered after answerTimeout.
    borrowQueue_.add([this, &shard, outgoing] { sendBorrowRequest(shard, outgoing); });
}

/** Sends a borrow request and applies the answer or the failure. Runs on a sender thread. */
void LimitService::sendBorrowRequest(Shard &shard, const limit::OutgoingBorrowRequest &outgoing)
{
    const limit::BorrowRequest &request = outgoing.request;
    std::optional<limit::BorrowAnswer> answer;
    if (const auto endpoint = directory_.endpointOf(outgoing.to)) {
        try {
            const auto timeout = std::chrono::duration_cast<core::Millis>(limit::answerTimeout);
            answer = limit::borrowAnswerFromJson(transport_.call(
                *endpoint, "limit.borrow", limit::borrowRequestToJson(request), timeout));
        } catch (const core::Error &error) {
            core::logEvent(core::LogLevel::Debug, "borrow_unanswered",
                           {{"home", outgoing.to.str()}, {"reason", error.what()}});
        } catch (const nlohmann::json::exception &error) {
            core::logEvent(core::LogLevel::Warn, "borrow_answer_malformed",
                           {{"home", outgoing.to.str()}, {"reason", error.what()}});
        }
    }
    const std::lock_guard lock(shard.mutex);
    const core::MonoTime now = core::MonoClock::now();
    if (answer)
        shard.state->onBorrowAnswer(now, *answer);
    else
        shard.state->onBorrowFailed(now, request.account, request.id);
    applyOutput(shard);
}

nlohmann::json LimitService::answerBorrow(const nlohmann::json &params)
{
    const limit::BorrowRequest request = limit::borrowRequestFromJson(params);
    Shard &shard = shardOf(request.account);
    const std::lock_guard lock(shard.mutex);
    const limit::BorrowAnswer answer =
        shard.state->onBorrowRequest(core::MonoClock::now(), request);
    applyOutput(shard);
    return limit::borrowAnswerToJson(answer);
}

void LimitService::onConfig(const std::shared_ptr<const config::ConfigSnapshot> &snapshot)
{
    config_.store(snapshot);
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        shard.state->onConfig(core::MonoClock::now(), snapshot);
        applyOutput(shard);
    }
}

void LimitService::onVmList(const core::VmList &list)
{
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        shard.state->onVmList(core::MonoClock::now(), list);
        applyOutput(shard);
    }
}

bool LimitService::onPlacement(const std::shared_ptr<const limit::Placement> &placement)
{
    bool taken = true;
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        taken = shard.state->onPlacement(core::MonoClock::now(), placement) && taken;
        applyOutput(shard);
    }
    return taken;
}

std::shared_ptr<const limit::Placement> LimitService::placement() const
{
    const std::lock_guard lock(shards_.front().mutex);
    return shards_.front().state->placement();
}

std::vector<core::VmId> LimitService::homesOf(const core::ClientAccountId &account) const
{
    const auto current = placement();
    const auto snapshot = config_.load();
    const record::Limit *limit = snapshot ? snapshot->findLimit(account) : nullptr;
    if (!current || limit == nullptr)
        return {};
    std::vector<core::VmId> homes;
    for (const core::VmId &home : current->homesOf(account)) {
        if (!home.empty() && homes.size() < static_cast<std::size_t>(limit->homes))
            homes.push_back(home);
    }
    return homes;
}

limit::VmHistory LimitService::vmHistory() const
{
    const std::lock_guard lock(shards_.front().mutex);
    return shards_.front().state->vmHistory();
}

bool LimitService::actsAsHome() const
{
    const std::lock_guard lock(shards_.front().mutex);
    return shards_.front().state->actsAsHome();
}

core::MonoTime LimitService::loansExpireAt() const
{
    core::MonoTime latest;
    for (const Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        latest = std::max(latest, shard.state->loansExpireAt());
    }
    return latest;
}

/** Runs the due work of all shards. */
void LimitService::runAllDueWork()
{
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        const core::MonoTime now = core::MonoClock::now();
        const auto due = shard.state->nextDue();
        if (!due || *due > now)
            continue;
        shard.state->runDueWork(now);
        applyOutput(shard);
    }
}

LimitService::Shard &LimitService::shardOf(const core::ClientAccountId &account)
{
    return shards_[core::stableHash(account.str()) % shardCount];
}

} // namespace teaselreach::daemon
