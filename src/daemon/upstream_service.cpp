/** @file upstream_service.cpp Load balancing and outlier ejection for all services. */
#include "core/digest_func.h"
#include "core/log_func.h"
#include "daemon/upstream_service_base.h"

#include <algorithm>

namespace teaselreach::daemon {

namespace {

/** @return The reason in logs and metrics. */
proxy::HedgeDenial denialFor(upstream::HedgeRefusal refusal)
{
    switch (refusal) {
    case upstream::HedgeRefusal::NeedsResult:
        return proxy::HedgeDenial::NeedsResult;
    case upstream::HedgeRefusal::DeadlineTooClose:
        return proxy::HedgeDenial::TooLate;
    case upstream::HedgeRefusal::NoUpstream:
        return proxy::HedgeDenial::NoUpstream;
    case upstream::HedgeRefusal::BudgetExhausted:
        return proxy::HedgeDenial::NoBudget;
    }
    return proxy::HedgeDenial::NoUpstream;
}

/** @return The outcome for outlier ejection. */
upstream::Outcome outcomeFor(proxy::AttemptEnd end)
{
    switch (end) {
    case proxy::AttemptEnd::Answered:
        return upstream::Outcome::Success;
    case proxy::AttemptEnd::ServerError:
    case proxy::AttemptEnd::UnprovenRefusal:
        return upstream::Outcome::Failed;
    case proxy::AttemptEnd::NotExecuted:
    case proxy::AttemptEnd::Misdirected:
        return upstream::Outcome::Shed;
    case proxy::AttemptEnd::NotSent:
        return upstream::Outcome::ConnectFailed;
    case proxy::AttemptEnd::TimedOut:
        return upstream::Outcome::TimedOut;
    case proxy::AttemptEnd::Broken:
        return upstream::Outcome::Truncated;
    case proxy::AttemptEnd::CallerLeft:
        return upstream::Outcome::Cancelled;
    case proxy::AttemptEnd::Superseded:
        return upstream::Outcome::Superseded;
    }
    return upstream::Outcome::Failed;
}

/** @return The name of the log event. */
std::string_view eventName(upstream::HealthEvent::Kind kind)
{
    switch (kind) {
    case upstream::HealthEvent::Kind::Ejected:
        return "upstream_ejected";
    case upstream::HealthEvent::Kind::Readmitted:
        return "upstream_readmitted";
    case upstream::HealthEvent::Kind::Draining:
        return "upstream_draining";
    case upstream::HealthEvent::Kind::RefusedByFloor:
        return "ejection_refused_by_floor";
    case upstream::HealthEvent::Kind::FloorRestored:
        return "floor_restored";
    }
    return "upstream_changed";
}

} // namespace

UpstreamService::UpstreamService(UpstreamServiceOptions options)
    : options_(std::move(options))
    , ticker_(upstream::tickInterval, [this] { tickAll(); })
{ }

UpstreamService::~UpstreamService() = default;

std::optional<ChosenUpstream> UpstreamService::choose(const UpstreamQuery &query,
                                                      core::MonoTime now)
{
    const std::shared_ptr<Service> service = findService(query.service);
    if (!service)
        return std::nullopt;
    const std::lock_guard lock(service->mutex);
    const auto choice = service->state.choose(now,
                                              {.idempotent = query.idempotent,
                                               .firstAttempt = query.tried.empty(),
                                               .exclude = query.tried},
                                              service->random);
    if (!choice)
        return std::nullopt;
    return start(*service, *choice, now);
}

HedgeDecision UpstreamService::chooseHedge(const HedgeQuery &query, core::MonoTime now)
{
    const std::shared_ptr<Service> service = findService(query.service);
    if (!service)
        return {.upstream = std::nullopt, .denial = proxy::HedgeDenial::NoUpstream};
    const std::lock_guard lock(service->mutex);
    const upstream::HedgeChoice hedge = service->state.chooseHedge(
        now, {.first = query.first, .timeLeft = query.timeLeft}, service->random);
    if (!hedge.choice)
        return {.upstream = std::nullopt, .denial = denialFor(*hedge.refusal)};
    return {.upstream = start(*service, *hedge.choice, now), .denial = std::nullopt};
}

/** Records the start of an attempt. Requires the service's lock. */
ChosenUpstream UpstreamService::start(Service &service, const upstream::Choice &choice,
                                      core::MonoTime now)
{
    const upstream::AttemptId attemptId = service.state.startAttempt(now, choice);
    return {.id = choice.upstream,
            .target = {.address = choice.address, .port = choice.port},
            .attemptNumber = attemptId.number};
}

void UpstreamService::report(const AttemptReport &attempt)
{
    const std::shared_ptr<Service> service = findService(attempt.service);
    if (!service)
        return;
    upstream::Completion completion {.outcome = outcomeFor(attempt.end)};
    // A hedge that lost shows nothing: the first attempt had a start of the delay.
    if (attempt.isHedge && attempt.end == proxy::AttemptEnd::Superseded)
        completion.outcome = upstream::Outcome::Cancelled;
    completion.hasLoad = attempt.draining || (attempt.loadBusy && attempt.loadSlots);
    completion.load = {.busy = attempt.loadBusy.value_or(0),
                       .slots = attempt.loadSlots.value_or(0),
                       .draining = attempt.draining};
    const std::lock_guard lock(service->mutex);
    service->state.finishAttempt(attempt.endedAt,
                                 {.upstream = attempt.upstream, .number = attempt.attemptNumber},
                                 completion);
    logEvents(attempt.service, *service);
}

bool UpstreamService::tryTakeRetry(const RetryQuery &query, core::MonoTime now)
{
    const std::shared_ptr<Service> service = findService(query.service);
    if (!service)
        return false;
    const std::lock_guard lock(service->mutex);
    return service->state.decideRetry(now,
                                      {.outcome = outcomeFor(query.end),
                                       .idempotent = query.idempotent,
                                       .mayHaveRunBefore = query.mayHaveRunBefore,
                                       .attempts = query.attempts,
                                       .timeLeft = query.timeLeft})
        == upstream::RetryDecision::Retry;
}

void UpstreamService::onConfig(const config::ConfigSnapshot &snapshot)
{
    const std::unique_lock lock(mutex_);
    Services next;
    for (const record::Service &record : snapshot.records().services) {
        const auto found = services_.find(record.id);
        const auto service = found == services_.end() ? makeService(record) : found->second;
        {
            const std::lock_guard serviceLock(service->mutex);
            service->record = record;
            service->state.configure(core::MonoClock::now(), record);
        }
        next.emplace(record.id, service);
    }
    services_ = std::move(next);
}

void UpstreamService::onVmList(const core::VmList &list)
{
    {
        const std::unique_lock lock(mutex_);
        lastVmList_ = list;
    }
    for (const auto &[id, service] : currentServices()) {
        const std::lock_guard lock(service->mutex);
        service->state.applyVmList(core::MonoClock::now(), list);
        logEvents(id, *service);
    }
}

std::vector<upstream::EvidenceDigest> UpstreamService::takeDigests(std::size_t limit)
{
    std::vector<upstream::EvidenceDigest> digests;
    for (const auto &[id, service] : currentServices()) {
        if (digests.size() >= limit)
            break;
        const std::lock_guard lock(service->mutex);
        const auto more =
            service->state.takeDigestsToSend(core::MonoClock::now(), limit - digests.size());
        digests.insert(digests.end(), more.begin(), more.end());
    }
    return digests;
}

bool UpstreamService::hasUrgentDigests() const
{
    const Services all = currentServices();
    return std::any_of(all.begin(), all.end(), [](const auto &entry) {
        const std::lock_guard lock(entry.second->mutex);
        return entry.second->state.hasUrgentDigests();
    });
}

void UpstreamService::receiveDigest(const upstream::EvidenceDigest &digest)
{
    const std::shared_ptr<Service> service = findService(digest.service);
    if (!service)
        return;
    const std::lock_guard lock(service->mutex);
    service->state.applyDigest(core::MonoClock::now(), digest);
    logEvents(digest.service, *service);
}

std::vector<std::pair<core::ServiceId, upstream::Explanation>>
UpstreamService::explain(const std::optional<core::UpstreamId> &only) const
{
    std::vector<std::pair<core::ServiceId, upstream::Explanation>> all;
    for (const auto &[id, service] : currentServices()) {
        const std::lock_guard lock(service->mutex);
        for (upstream::Explanation &explanation :
             service->state.explainAll(core::MonoClock::now())) {
            if (only && explanation.upstream != *only)
                continue;
            all.emplace_back(id, std::move(explanation));
        }
    }
    return all;
}

std::vector<ServiceSlots> UpstreamService::slotsInUse() const
{
    std::vector<ServiceSlots> all;
    for (const auto &[id, service] : currentServices()) {
        const std::lock_guard lock(service->mutex);
        ServiceSlots slots {.service = id};
        for (const auto &explanation : service->state.explainAll(core::MonoClock::now())) {
            if (explanation.state == upstream::UseState::InUse)
                slots.slots += service->record.slotsPerUpstream;
        }
        all.push_back(slots);
    }
    return all;
}

std::shared_ptr<UpstreamService::Service>
UpstreamService::findService(const core::ServiceId &id) const
{
    const std::shared_lock lock(mutex_);
    const auto found = services_.find(id);
    return found == services_.end() ? nullptr : found->second;
}

/** @return A copy of the map, whose services stay valid when a new configuration is applied. */
UpstreamService::Services UpstreamService::currentServices() const
{
    const std::shared_lock lock(mutex_);
    return services_;
}

/** @return A new service with the last VM list applied. Requires mutex_. */
std::shared_ptr<UpstreamService::Service>
UpstreamService::makeService(const record::Service &record) const
{
    upstream::ServiceOptions options {.service = record,
                                      .ownVm = options_.self,
                                      .ownLocation = options_.location,
                                      .incarnation = options_.incarnation};
    const std::uint64_t seed =
        core::stableHash(options_.self.str() + record.id.str()) ^ options_.incarnation.count();
    auto service = std::make_shared<Service>(record, std::move(options), seed);
    service->state.applyVmList(core::MonoClock::now(), lastVmList_);
    return service;
}

/** Calls tick() on the state of every service and logs the changes. */
void UpstreamService::tickAll()
{
    for (const auto &[id, service] : currentServices()) {
        const std::lock_guard lock(service->mutex);
        service->state.tick(core::MonoClock::now());
        logEvents(id, *service);
    }
}

/** Logs the health changes of a service's upstreams. Requires the service's lock. */
void UpstreamService::logEvents(const core::ServiceId &id, Service &service)
{
    for (const upstream::HealthEvent &event : service.state.takeEvents()) {
        core::logEvent(core::LogLevel::Info, eventName(event.kind),
                       {{"service", id.str()},
                        {"upstream", event.upstream.str()},
                        {"scope", upstream::scopeName(event.scope)}});
    }
}

} // namespace teaselreach::daemon
