/** @file upstream_fleet.h Entry VMs and upstreams of one service in virtual time. */
#pragma once

#include "standins/event_queue.h"
#include "upstream/service_state_base.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace teaselreach::standins {

/** What is wrong with an upstream. */
enum class Fault { None, Stall, TenfoldSlow, HalfAnswers, ErrorsOneInThree, Flapping, OneWayCut };

/** How VMs find failing upstreams. */
enum class Detection { Shared, LocalOnly, HealthEndpointOnly };

/** How VMs pick among equally near upstreams. */
enum class Pick { TwoChoices, RoundRobin, Random };

/** Sizes and rates of the simulated fleet. */
struct FleetOptions
{
    std::size_t vms = 40;
    std::size_t upstreams = 20;
    std::size_t zones = 6;
    std::size_t zonesPerRegion = 2;
    int slots = 2;
    double requestsPerSecond = 0; ///< Over all VMs; 0 for 60% of all slots.
    double errorRate = 0.0005;    ///< Of healthy upstreams.
    double digestLoss = 0;
    std::size_t maxSubset = 0;
    Detection detection = Detection::Shared;
    Pick pick = Pick::TwoChoices;
    std::uint64_t seed = 1;
};

/** Counters of a simulation. */
struct FleetCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failedRequests = 0;
    std::uint64_t digests = 0;
    std::vector<core::Micros> lookupLatency;
    std::vector<core::Micros> waits; ///< At upstreams, before a slot is free.
};

/** A change that a VM decided. */
struct EventSeen
{
    core::MonoTime at;
    std::size_t vm;
    upstream::HealthEvent event;
};

/** Runs the real ServiceState of each VM against upstreams with slots, queues and faults. */
class UpstreamFleet
{
public:
    /** @param options Sizes and rates. */
    explicit UpstreamFleet(const FleetOptions &options);

    /** Runs to a time after the start. */
    void runUntil(core::Micros sinceStart);
    /** Sets the fault of an upstream. */
    void setFault(std::size_t upstream, Fault fault);
    /** Multiplies the requests per second. */
    void setLoadFactor(double factor) { loadFactor_ = factor; }
    /** Makes a VM lose this fraction of its responses from every upstream. */
    void setLoss(std::size_t vm, double fraction) { vms_[vm].loss = fraction; }
    /** Adds an upstream that is ten times slower for a time. */
    void addColdUpstream(core::Micros coldFor);

    /** @return Times of the ordinary (not trial) attempts sent to an upstream. */
    const std::vector<core::MonoTime> &sentTo(std::size_t upstream) const
    {
        return upstreams_[upstream].sent;
    }
    /** @return Number of trial attempts sent to an upstream. */
    std::uint64_t trialsTo(std::size_t upstream) const { return upstreams_[upstream].trials; }
    /** @return All ejections and readmissions so far. */
    const std::vector<EventSeen> &events() const { return events_; }
    /** @return Counters; the caller may clear the samples. */
    FleetCounts &counts() { return counts_; }
    /** @return The decisions of a VM. */
    upstream::ServiceState &stateOf(std::size_t vm) { return *vms_[vm].state; }
    /** @return The id of an upstream. */
    const core::UpstreamId &idOf(std::size_t upstream) const
    {
        return list_.upstreams[upstream].id;
    }

    static constexpr core::MonoTime start {core::Seconds(1000)};

private:
    struct Job
    {
        std::uint64_t request;
        std::size_t vm;
        std::size_t upstream;
        upstream::AttemptId ticket;
        core::MonoTime queuedAt {};
        bool running = false;
        bool ended = false;
        bool left = false; ///< No longer at the upstream.
    };

    struct Request
    {
        std::size_t vm;
        core::MonoTime arrived;
        bool idempotent;
        int attempts = 0;
        int open = 0;
        bool answered = false;
        std::vector<core::UpstreamId> tried;
    };

    struct SimUpstream
    {
        Fault fault = Fault::None;
        core::MonoTime faultSince {};
        core::MonoTime coldUntil {};
        int busy = 0;
        std::deque<std::uint64_t> queue;
        std::vector<core::MonoTime> sent;
        std::uint64_t trials = 0;
    };

    struct SimVm
    {
        std::unique_ptr<upstream::ServiceState> state;
        double loss = 0;
    };

    core::Location place(std::size_t i) const;
    core::Micros latency(std::size_t vm, std::size_t upstream) const;
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void arrive();
    void attempt(std::uint64_t requestId);
    std::optional<upstream::Choice> choose(std::size_t vm, const Request &request, bool first);
    upstream::Choice chooseByBaseline(std::size_t vm);
    void reachUpstream(std::uint64_t jobId);
    void beginWork(std::uint64_t jobId);
    void endWork(std::uint64_t jobId);
    void leaveUpstream(std::uint64_t jobId);
    void reply(std::uint64_t jobId, upstream::Outcome outcome);
    void endAttempt(std::uint64_t jobId, const upstream::Completion &completion);
    void settle(const Job &job, upstream::Outcome outcome);
    bool stalled(const SimUpstream &upstream) const;
    bool cut(std::size_t vm, std::size_t upstream) const;
    upstream::Outcome drawOutcome(const Job &job);
    void tickVm(std::size_t vm);
    void exchange(std::size_t vm);
    void send(std::size_t from, std::size_t to);
    std::size_t peer(std::size_t vm, int nearness);
    void publishList();

    FleetOptions options_;
    core::VmList list_;
    std::vector<SimVm> vms_;
    std::vector<SimUpstream> upstreams_;
    std::map<core::UpstreamId, std::size_t> indexOf_;
    std::map<std::uint64_t, Job> jobs_;
    std::map<std::uint64_t, Request> requests_;
    EventQueue queue_ {start};
    std::vector<EventSeen> events_;
    FleetCounts counts_;
    upstream::Random random_;
    upstream::RoundRobinChoice roundRobin_;
    double loadFactor_ = 1;
    std::uint64_t nextId_ = 1;
};

} // namespace teaselreach::standins
