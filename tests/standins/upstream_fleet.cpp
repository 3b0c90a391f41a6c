/** @file upstream_fleet.cpp Entry VMs and upstreams of one service in virtual time. */
#include "standins/upstream_fleet.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::standins {

using upstream::Completion;
using upstream::Outcome;

namespace {

constexpr double meanWorkMs = 25;
constexpr double workSigma = 0.5;
constexpr core::Millis requestTimeout {2000};
constexpr std::size_t maxQueue = 40;
constexpr core::Millis flapPeriod {5000};
constexpr std::size_t digestsPerMessage = 64;
/** Three failed probes of the health endpoint, one second apart. */
constexpr core::Millis healthDetection {3000};

core::Micros milliseconds(double value)
{
    return core::Micros(static_cast<std::int64_t>(value * 1000));
}

} // namespace

UpstreamFleet::UpstreamFleet(const FleetOptions &options)
    : options_(options)
    , random_(options.seed)
{
    for (std::size_t i = 0; i < options.vms; ++i)
        list_.entryVms.push_back(
            {.id = core::VmId("entry-" + std::to_string(i)), .location = place(i)});
    for (std::size_t i = 0; i < options.upstreams; ++i)
        list_.upstreams.push_back({.id = core::UpstreamId("upstream-" + std::to_string(i)),
                                   .service = core::ServiceId("desk"),
                                   .location = place(i)});
    upstreams_.resize(options.upstreams);
    for (std::size_t i = 0; i < options.vms; ++i) {
        const upstream::ServiceOptions state {
            .service = {.id = core::ServiceId("desk"), .slotsPerUpstream = options.slots},
            .ownVm = list_.entryVms[i].id,
            .ownLocation = place(i),
            .exchangeEvidence = options.detection == Detection::Shared,
            .maxSubset = options.maxSubset};
        vms_.push_back({.state = std::make_unique<upstream::ServiceState>(state)});
        queue_.at(start + milliseconds(uniform() * 100), [this, i] { tickVm(i); });
        queue_.at(start + milliseconds(uniform() * 1000), [this, i] { exchange(i); });
    }
    publishList();
    if (options_.requestsPerSecond == 0)
        options_.requestsPerSecond =
            0.6 * static_cast<double>(options.upstreams) * options.slots * 1000 / meanWorkMs;
    queue_.at(start, [this] { arrive(); });
}

core::Location UpstreamFleet::place(std::size_t i) const
{
    const std::size_t zone = i % options_.zones;
    return {.availabilityZone = core::AvailabilityZoneId("zone-" + std::to_string(zone)),
            .region = core::RegionId("region-" + std::to_string(zone / options_.zonesPerRegion))};
}

void UpstreamFleet::publishList()
{
    indexOf_.clear();
    for (std::size_t i = 0; i < list_.upstreams.size(); ++i)
        indexOf_[list_.upstreams[i].id] = i;
    for (SimVm &vm : vms_)
        vm.state->applyVmList(queue_.now(), list_);
}

void UpstreamFleet::setFault(std::size_t upstream, Fault fault)
{
    upstreams_[upstream].fault = fault;
    upstreams_[upstream].faultSince = queue_.now();
}

void UpstreamFleet::addColdUpstream(core::Micros coldFor)
{
    const std::size_t i = list_.upstreams.size();
    list_.upstreams.push_back({.id = core::UpstreamId("upstream-" + std::to_string(i)),
                               .service = core::ServiceId("desk"),
                               .location = place(i)});
    upstreams_.push_back({.coldUntil = queue_.now() + coldFor});
    publishList();
}

void UpstreamFleet::runUntil(core::Micros sinceStart)
{
    queue_.runUntil(start + sinceStart);
}

core::Micros UpstreamFleet::latency(std::size_t vm, std::size_t upstream) const
{
    const std::size_t from = vm % options_.zones;
    const std::size_t to = upstream % options_.zones;
    if (from / options_.zonesPerRegion != to / options_.zonesPerRegion)
        return core::Millis(10);
    return from == to ? core::Micros(100) : core::Micros(500);
}

void UpstreamFleet::arrive()
{
    const double rate = options_.requestsPerSecond * loadFactor_;
    queue_.at(queue_.now()
                  + milliseconds(std::exponential_distribution<double>(rate / 1000)(random_)),
              [this] { arrive(); });
    const std::uint64_t id = nextId_++;
    const auto vm = static_cast<std::size_t>(uniform() * static_cast<double>(vms_.size()));
    requests_[id] = {.vm = vm, .arrived = queue_.now(), .idempotent = uniform() < 0.8};
    ++counts_.requests;
    attempt(id);
}

upstream::Choice UpstreamFleet::chooseByBaseline(std::size_t vm)
{
    const upstream::ServiceState &state = *vms_[vm].state;
    std::vector<upstream::UpstreamView> views;
    for (std::size_t i = 0; i < state.health().size(); ++i) {
        const bool probesFail =
            cut(vm, i) && queue_.now() - upstreams_[i].faultSince > healthDetection;
        views.push_back({.usable = !probesFail, .inFlight = state.health().inFlightAt(i)});
    }
    upstream::RandomChoice any;
    upstream::PowerOfTwoChoices two;
    std::optional<std::size_t> index;
    if (options_.pick == Pick::Random)
        index = state.chooser().choose(queue_.now(), views, any, random_);
    else if (options_.pick == Pick::RoundRobin)
        index = state.chooser().choose(queue_.now(), views, roundRobin_, random_);
    else
        index = state.chooser().choose(queue_.now(), views, two, random_);
    return {.upstream = state.health().vmAt(*index).id};
}

std::optional<upstream::Choice> UpstreamFleet::choose(std::size_t vm, const Request &request,
                                                      bool first)
{
    if (options_.pick != Pick::TwoChoices || options_.detection == Detection::HealthEndpointOnly)
        return chooseByBaseline(vm);
    return vms_[vm].state->choose(
        queue_.now(),
        {.idempotent = request.idempotent, .firstAttempt = first, .exclude = request.tried},
        random_);
}

void UpstreamFleet::attempt(std::uint64_t requestId)
{
    Request &request = requests_[requestId];
    const auto choice = choose(request.vm, request, request.attempts == 0);
    if (!choice) {
        ++counts_.failedRequests;
        return;
    }
    const std::size_t target = indexOf_.at(choice->upstream);
    const std::uint64_t jobId = nextId_++;
    ++request.attempts;
    ++request.open;
    request.tried.push_back(choice->upstream);
    jobs_[jobId] = {.request = requestId,
                    .vm = request.vm,
                    .upstream = target,
                    .ticket = vms_[request.vm].state->startAttempt(queue_.now(), *choice)};
    if (choice->trial)
        ++upstreams_[target].trials;
    else
        upstreams_[target].sent.push_back(queue_.now());
    queue_.at(queue_.now() + latency(request.vm, target), [this, jobId] { reachUpstream(jobId); });
    queue_.at(request.arrived + requestTimeout, [this, jobId] {
        if (jobs_.contains(jobId) && !jobs_[jobId].ended)
            endAttempt(jobId, {.outcome = Outcome::TimedOut});
    });
}

bool UpstreamFleet::stalled(const SimUpstream &upstream) const
{
    return upstream.fault == Fault::Stall
        || (upstream.fault == Fault::Flapping
            && (queue_.now() - upstream.faultSince) / flapPeriod % 2 == 0);
}

bool UpstreamFleet::cut(std::size_t vm, std::size_t upstream) const
{
    return upstreams_[upstream].fault == Fault::OneWayCut
        && vm % options_.zones < (options_.zones + 1) / 2;
}

void UpstreamFleet::reachUpstream(std::uint64_t jobId)
{
    const auto found = jobs_.find(jobId);
    if (found == jobs_.end() || found->second.ended)
        return;
    Job &job = found->second;
    SimUpstream &upstream = upstreams_[job.upstream];
    job.queuedAt = queue_.now();
    if (upstream.queue.size() >= maxQueue) {
        job.left = true;
        reply(jobId, Outcome::Shed);
        return;
    }
    if (upstream.busy < options_.slots && !stalled(upstream))
        beginWork(jobId);
    else
        upstream.queue.push_back(jobId);
}

void UpstreamFleet::beginWork(std::uint64_t jobId)
{
    Job &job = jobs_[jobId];
    SimUpstream &upstream = upstreams_[job.upstream];
    const double mu = std::log(meanWorkMs) - workSigma * workSigma / 2;
    double work = std::lognormal_distribution<double>(mu, workSigma)(random_);
    if (upstream.fault == Fault::TenfoldSlow || queue_.now() < upstream.coldUntil)
        work *= 10;
    job.running = true;
    ++upstream.busy;
    counts_.waits.push_back(queue_.now() - job.queuedAt);
    queue_.at(queue_.now() + milliseconds(work), [this, jobId] { endWork(jobId); });
}

void UpstreamFleet::endWork(std::uint64_t jobId)
{
    const auto found = jobs_.find(jobId);
    if (found == jobs_.end() || found->second.left)
        return;
    if (stalled(upstreams_[found->second.upstream])) {
        queue_.at(queue_.now() + core::Millis(50), [this, jobId] { endWork(jobId); });
        return;
    }
    const Outcome outcome = drawOutcome(found->second);
    leaveUpstream(jobId);
    reply(jobId, outcome);
}

Outcome UpstreamFleet::drawOutcome(const Job &job)
{
    const Fault fault = upstreams_[job.upstream].fault;
    if (fault == Fault::HalfAnswers)
        return Outcome::Truncated;
    const double errors = fault == Fault::ErrorsOneInThree ? 1.0 / 3 : options_.errorRate;
    return uniform() < errors ? Outcome::Failed : Outcome::Success;
}

void UpstreamFleet::leaveUpstream(std::uint64_t jobId)
{
    Job &job = jobs_[jobId];
    SimUpstream &upstream = upstreams_[job.upstream];
    if (job.left)
        return;
    job.left = true;
    if (job.running)
        --upstream.busy;
    else
        std::erase(upstream.queue, jobId);
    while (!upstream.queue.empty() && upstream.busy < options_.slots && !stalled(upstream)) {
        const std::uint64_t next = upstream.queue.front();
        upstream.queue.pop_front();
        beginWork(next);
    }
}

void UpstreamFleet::reply(std::uint64_t jobId, Outcome outcome)
{
    const Job &job = jobs_[jobId];
    if (cut(job.vm, job.upstream))
        return;
    const SimUpstream &upstream = upstreams_[job.upstream];
    const Completion completion {
        .outcome = uniform() < vms_[job.vm].loss ? Outcome::Truncated : outcome,
        .hasLoad = true,
        .load = {.busy = upstream.busy + static_cast<int>(upstream.queue.size()),
                 .slots = options_.slots}};
    queue_.at(queue_.now() + latency(job.vm, job.upstream), [this, jobId, completion] {
        if (jobs_.contains(jobId) && !jobs_[jobId].ended)
            endAttempt(jobId, completion);
    });
}

void UpstreamFleet::endAttempt(std::uint64_t jobId, const Completion &completion)
{
    jobs_[jobId].ended = true;
    leaveUpstream(jobId);
    const Job job = jobs_[jobId];
    jobs_.erase(jobId);
    vms_[job.vm].state->finishAttempt(queue_.now(), job.ticket, completion);
    settle(job, completion.outcome);
}

void UpstreamFleet::settle(const Job &job, Outcome outcome)
{
    const auto found = requests_.find(job.request);
    if (found == requests_.end())
        return;
    Request &request = found->second;
    --request.open;
    if (outcome == Outcome::Success && !request.answered) {
        request.answered = true;
        if (request.idempotent)
            counts_.lookupLatency.push_back(queue_.now() - request.arrived);
    }
    if (request.open > 0)
        return;
    const upstream::RetryRequest retry {.outcome = outcome,
                                        .idempotent = request.idempotent,
                                        .attempts = request.attempts,
                                        .timeLeft =
                                            request.arrived + requestTimeout - queue_.now()};
    if (!request.answered
        && vms_[request.vm].state->decideRetry(queue_.now(), retry)
            == upstream::RetryDecision::Retry) {
        attempt(job.request);
        return;
    }
    counts_.failedRequests += request.answered ? 0 : 1;
    if (!request.answered && request.idempotent)
        counts_.lookupLatency.emplace_back(requestTimeout);
    requests_.erase(found);
}

void UpstreamFleet::tickVm(std::size_t vm)
{
    queue_.at(queue_.now() + upstream::tickInterval, [this, vm] { tickVm(vm); });
    upstream::ServiceState &state = *vms_[vm].state;
    if (options_.detection != Detection::HealthEndpointOnly)
        state.tick(queue_.now());
    for (const upstream::HealthEvent &event : state.takeEvents())
        events_.push_back({.at = queue_.now(), .vm = vm, .event = event});
    for (int i = 0; i < upstream::pushPeers && state.hasUrgentDigests(); ++i)
        send(vm, peer(vm, 2));
}

void UpstreamFleet::exchange(std::size_t vm)
{
    queue_.at(queue_.now() + core::Millis(1000), [this, vm] { exchange(vm); });
    for (int nearness = 0; nearness < 3; ++nearness) {
        const std::size_t other = peer(vm, nearness);
        send(vm, other);
        send(other, vm);
    }
}

std::size_t UpstreamFleet::peer(std::size_t vm, int nearness)
{
    for (int tries = 0; tries < 50; ++tries) {
        const auto other = static_cast<std::size_t>(uniform() * static_cast<double>(vms_.size()));
        const bool zone = other % options_.zones == vm % options_.zones;
        const bool region = other % options_.zones / options_.zonesPerRegion
            == vm % options_.zones / options_.zonesPerRegion;
        if (other != vm && (nearness == 2 || (nearness == 1 && region) || zone))
            return other;
    }
    return (vm + 1) % vms_.size();
}

void UpstreamFleet::send(std::size_t from, std::size_t to)
{
    const auto digests = vms_[from].state->takeDigestsToSend(queue_.now(), digestsPerMessage);
    counts_.digests += digests.size();
    if (digests.empty() || uniform() < options_.digestLoss)
        return;
    const bool sameRegion = from % options_.zones / options_.zonesPerRegion
        == to % options_.zones / options_.zonesPerRegion;
    queue_.at(queue_.now() + core::Millis(sameRegion ? 1 : 10), [this, to, digests] {
        for (const upstream::EvidenceDigest &digest : digests)
            vms_[to].state->applyDigest(queue_.now(), digest);
    });
}

} // namespace teaselreach::standins
