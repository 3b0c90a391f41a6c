/** @file zone_fleet.h Twelve VMs in three regions and six zones that share load, in virtual time.
 */
#pragma once

#include "placement/dispatcher_base.h"
#include "placement/upstream_table_base.h"
#include "standins/event_queue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <numbers>
#include <string>

namespace teaselreach::proxytest {

using namespace teaselreach::proxy;

/** How requests are divided among zones. */
enum class ZoneStrategy : std::uint8_t { FixedLosses, EqualSpread, Sharing, OwnZone };

/** Demand, faults and strategy of a run. */
struct ZoneFleetOptions
{
    ZoneStrategy strategy = ZoneStrategy::Sharing;
    double utilization = 0.7;  ///< Mean demand as a part of all slots.
    double amplitude = 0;      ///< Of the demand, as a part of its mean.
    core::Seconds period {20}; ///< Of the demand; the phases of the zones differ.
    std::array<double, 6> zoneDemand {1, 1, 1, 1, 1, 1}; ///< Relative to the mean.
    core::Seconds halfLostFrom {1000}; ///< The first zone loses half of its upstreams.
    core::Seconds halfLostUntil {1000};
    /** Whether messages from one zone to another arrive. */
    std::function<bool(int from, int to)> delivers = [](int, int) { return true; };
    double lostMessages = 0;
    core::Seconds length {40};
    std::uint64_t seed = 1;
};

/** What happened in a run. */
struct ZoneFleetReport
{
    int requests = 0;
    int refused = 0;
    int late = 0;      ///< Answered after the target latency.
    int otherZone = 0; ///< Served in another zone of the region.
    int otherRegion = 0;
    /** Requests of other zones that waited at an upstream of the first zone. */
    int guestsQueued = 0;
    std::uint64_t directionChanges = 0;
    /** @return Mean loss of a request, in the units of UpstreamTableOptions. */
    double loss() const
    {
        const UpstreamTableOptions losses;
        return (refused + losses.lateLoss * late + losses.crossZoneLoss * otherZone
                + losses.crossRegionLoss * otherRegion)
            / requests;
    }
};

/** The fleet and its upstreams. Each VM sends about two requests per second to an upstream, so the
 * load that responses report is out of date for most choices. */
class ZoneFleet
{
public:
    static constexpr int zones = 6;
    static constexpr int vmsPerZone = 2;
    static constexpr int upstreamsPerZone = 10;
    static constexpr int slots = 2;
    static constexpr core::Millis work {500}; ///< Mean processing time.

    explicit ZoneFleet(ZoneFleetOptions options)
        : options_(std::move(options))
        , random_(options_.seed)
    {
        for (int zone = 0; zone < zones; ++zone)
            regionOfZone_[zoneId(zone)] = core::RegionId("r" + std::to_string(zone / 2));
        for (int i = 0; i < zones * upstreamsPerZone; ++i)
            upstreams_.push_back({.zone = i / upstreamsPerZone});
        for (int vm = 0; vm < zones * vmsPerZone; ++vm) {
            vms_.emplace_back(std::make_unique<Vm>(tableOptions(vm / vmsPerZone),
                                                   options_.seed * 100 + vm, vm / vmsPerZone));
            for (std::size_t i = 0; i < upstreams_.size(); ++i) {
                const bool isOwn = upstreams_[i].zone == vm / vmsPerZone;
                if (isOwn || options_.strategy != ZoneStrategy::OwnZone)
                    vms_.back()->table.update(events_.now(), entryOf(i));
            }
            vms_.back()->dispatcher.setFleetShare(1.0 / (zones * vmsPerZone));
            scheduleArrival(vm);
            tick(vm, 0);
        }
        events_.after(options_.halfLostFrom, [this] { setHalfListed(false); });
        events_.after(options_.halfLostUntil, [this] { setHalfListed(true); });
    }

    /** Runs up to a time after the start. */
    void runUntil(core::Micros time) { events_.runUntil(begin_ + time); }
    /** Runs to the end. */
    ZoneFleetReport run()
    {
        runUntil(options_.length);
        report_.directionChanges = 0;
        for (const auto &vm : vms_)
            report_.directionChanges +=
                vm->table.zoneLoads() == nullptr ? 0 : vm->table.zoneLoads()->directionChanges();
        return report_;
    }
    /** @return The part of its requests that a VM assigns to other zones. */
    double spilledPart(int vm) { return vms_[vm]->table.zoneLoads()->spilledPart(service_); }
    /** @return The slots that are in use in a zone, as a part of those that are listed. */
    double utilization(int zone) const
    {
        int running = 0;
        int listed = 0;
        for (const Upstream &upstream : upstreams_) {
            if (upstream.zone != zone)
                continue;
            running += upstream.running;
            listed += upstream.isListed ? slots : 0;
        }
        return static_cast<double>(running) / listed;
    }

private:
    struct Request
    {
        DispatchRequest dispatch;
        core::MonoTime sentAt {};
    };
    struct Vm
    {
        Vm(UpstreamTableOptions options, std::uint64_t seed, int zoneNumber)
            : table(std::move(options), seed)
            , dispatcher(table, {})
            , zone(zoneNumber)
        { }
        UpstreamTable table;
        Dispatcher<UpstreamTable> dispatcher;
        std::map<WaitTicket, std::shared_ptr<Request>> waiting;
        int zone;
    };
    struct Upstream
    {
        int zone = 0;
        bool isListed = true;
        int running = 0;
        std::vector<std::function<void()>> queue;
    };

    static core::AvailabilityZoneId zoneId(int zone)
    {
        return core::AvailabilityZoneId("z" + std::to_string(zone));
    }
    static core::Micros travelTime(int from, int to)
    {
        if (from == to)
            return core::Micros(500);
        return from / 2 == to / 2 ? core::Millis(1) : core::Millis(20);
    }
    UpstreamEntry entryOf(std::size_t i) const
    {
        return {.id = core::UpstreamId("u" + std::to_string(i)),
                .service = service_,
                .address = "10.0.0.1",
                .port = static_cast<std::uint16_t>(i + 1),
                .availabilityZone = zoneId(upstreams_[i].zone),
                .slots = slots};
    }
    UpstreamTableOptions tableOptions(int zone) const
    {
        UpstreamTableOptions options {
            .self = {zoneId(zone), regionOfZone_.at(zoneId(zone))},
            .regionOfZone = regionOfZone_,
            .zoneLoad = {.enabled = options_.strategy == ZoneStrategy::Sharing}};
        if (options_.strategy == ZoneStrategy::EqualSpread)
            options.crossZoneLoss = options.crossRegionLoss = 0;
        return options;
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    static core::Micros toMicros(double seconds)
    {
        return std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(seconds));
    }

    /** @return Requests per second at a VM. */
    double demandOf(int zone) const
    {
        const double elapsed = std::chrono::duration<double>(events_.now() - begin_).count();
        const double phase = elapsed / static_cast<double>(options_.period.count())
            + static_cast<double>(zone) / zones;
        const double capacity =
            upstreamsPerZone * slots / std::chrono::duration<double>(work).count();
        return capacity / vmsPerZone * options_.utilization * options_.zoneDemand.at(zone)
            * (1 + options_.amplitude * std::sin(2 * std::numbers::pi * phase));
    }
    void scheduleArrival(int vm)
    {
        const double wait = -std::log(1 - uniform()) / demandOf(vm / vmsPerZone);
        events_.after(toMicros(wait), [this, vm] {
            arrive(vm);
            scheduleArrival(vm);
        });
    }
    void arrive(int vmNumber)
    {
        Vm &vm = *vms_[vmNumber];
        const core::MonoTime now = events_.now();
        auto request =
            std::make_shared<Request>(Request {.dispatch = {.service = service_,
                                                            .route = &route_,
                                                            .arrivedAt = now,
                                                            .deadline = now + route_.timeout}});
        ++report_.requests;
        vm.dispatcher.requestArrived(now, service_);
        vm.table.requestArrived(now, service_, {});
        DispatchResult result = vm.dispatcher.submit(now, request->dispatch);
        if (result.evicted)
            decide(vmNumber, {*result.evicted});
        if (result.placement)
            send(vmNumber, request, *result.placement);
        else if (result.wait)
            vm.waiting[*result.wait] = request;
        else
            ++report_.refused;
    }
    void decide(int vmNumber, const std::vector<DispatchDecision> &decisions)
    {
        for (const DispatchDecision &decision : decisions) {
            const auto waiting = vms_[vmNumber]->waiting.extract(decision.ticket);
            if (decision.result.placement)
                send(vmNumber, waiting.mapped(), *decision.result.placement);
            else
                ++report_.refused;
        }
    }

    void send(int vm, const std::shared_ptr<Request> &request, const Placement &placement)
    {
        request->sentAt = events_.now();
        const auto number = static_cast<std::size_t>(std::stoi(placement.upstream.str().substr(1)));
        const core::Micros travel = travelTime(vm / vmsPerZone, upstreams_[number].zone);
        events_.after(travel, [this, vm, request, placement, number, travel] {
            Upstream &upstream = upstreams_[number];
            const auto queued = static_cast<int>(upstream.queue.size());
            if (upstream.running + queued >= 3 * slots) {
                respond(vm, request, placement, number, travel, AttemptEnd::NotExecuted);
                return;
            }
            const auto start = [this, vm, request, placement, number, travel] {
                ++upstreams_[number].running;
                const core::Micros duration =
                    toMicros(std::chrono::duration<double>(work).count() * (0.5 + uniform()));
                events_.after(duration, [this, vm, request, placement, number, travel] {
                    Upstream &ended = upstreams_[number];
                    --ended.running;
                    if (!ended.queue.empty()) {
                        const auto next = ended.queue.front();
                        ended.queue.erase(ended.queue.begin());
                        next();
                    }
                    respond(vm, request, placement, number, travel, AttemptEnd::Answered);
                });
            };
            if (upstream.running < slots) {
                start();
                return;
            }
            if (upstream.zone == 0 && vm / vmsPerZone != 0)
                ++report_.guestsQueued;
            upstream.queue.emplace_back(start);
        });
    }
    void respond(int vmNumber, const std::shared_ptr<Request> &request, const Placement &placement,
                 std::size_t number, core::Micros travel, AttemptEnd end)
    {
        const Upstream &upstream = upstreams_[number];
        const LoadReport load {.running = upstream.running,
                               .waiting = static_cast<int>(upstream.queue.size()),
                               .slots = slots};
        events_.after(travel, [this, vmNumber, request, placement, number, end, load] {
            Vm &vm = *vms_[vmNumber];
            const core::MonoTime now = events_.now();
            decide(vmNumber,
                   vm.dispatcher.attemptFinished({.upstream = placement.upstream,
                                                  .route = route_.id,
                                                  .attempt = placement.attempt,
                                                  .end = end,
                                                  .startedAt = request->sentAt,
                                                  .endedAt = now,
                                                  .status = {.load = load}},
                                                 request->dispatch));
            if (end == AttemptEnd::Answered) {
                answered(vm, *request, upstreams_[number].zone);
                return;
            }
            const bool retries = vm.dispatcher.grantRetry(now, request->dispatch, end);
            DispatchResult result;
            if (retries)
                result = vm.dispatcher.submit(now, request->dispatch);
            if (result.evicted)
                decide(vmNumber, {*result.evicted});
            if (result.placement)
                send(vmNumber, request, *result.placement);
            else if (result.wait)
                vm.waiting[*result.wait] = request;
            else
                ++report_.refused;
        });
    }
    void answered(const Vm &vm, const Request &request, int zone)
    {
        report_.late += events_.now() - request.dispatch.arrivedAt > route_.targetLatency ? 1 : 0;
        if (zone == vm.zone)
            return;
        ++(zone / 2 == vm.zone / 2 ? report_.otherZone : report_.otherRegion);
    }

    /** The periodic work of a VM, as in LoopDaemon. */
    void tick(int vmNumber, int count)
    {
        Vm &vm = *vms_[vmNumber];
        const core::MonoTime now = events_.now();
        decide(vmNumber, vm.dispatcher.dispatchWaiting(now));
        if (ZoneLoadTable *loads = vm.table.zoneLoads()) {
            constexpr std::size_t maxReports = 12;
            vm.table.measureZoneLoad(now);
            if (count % 8 == vmNumber % 8)
                deliver(vmNumber, loads->ownReports(now, maxReports), true);
            deliver(vmNumber, loads->takeStateChanges(now, maxReports), false);
        }
        events_.after(core::Millis(50), [this, vmNumber, count] { tick(vmNumber, count + 1); });
    }
    void deliver(int sender, const std::vector<ZoneLoadReport> &reports, bool sameRegion)
    {
        const int from = sender / vmsPerZone;
        std::uniform_real_distribution<double> lossDraw(0, 1);
        for (int vm = 0; vm < static_cast<int>(vms_.size()); ++vm) {
            const int to = vm / vmsPerZone;
            if (vm == sender || (from / 2 == to / 2) != sameRegion || !options_.delivers(from, to)
                || lossDraw(messageRandom_) < options_.lostMessages)
                continue;
            for (ZoneLoadReport report : reports) {
                report.sender = core::VmId(std::to_string(sender));
                events_.after(travelTime(from, to), [this, vm, report] {
                    vms_[vm]->table.zoneLoads()->reported(events_.now(), report);
                });
            }
        }
    }
    void setHalfListed(bool listed)
    {
        for (std::size_t i = 0; i < upstreamsPerZone / 2; ++i) {
            upstreams_[i].isListed = listed;
            for (const auto &vm : vms_) {
                if (listed)
                    vm->table.update(events_.now(), entryOf(i));
                else
                    vm->table.remove(entryOf(i).id);
            }
        }
    }

    ZoneFleetOptions options_;
    std::mt19937_64 random_;
    std::mt19937_64 messageRandom_ {1}; ///< Messages must not change the demand of a run.
    standins::EventQueue events_;
    core::MonoTime begin_ = events_.now();
    core::ServiceId service_ {"desk"};
    Route route_ {.id = core::RouteId("r"),
                  .timeout = core::Seconds(6),
                  .targetLatency = core::Millis(1500),
                  .maxAttempts = 2};
    std::map<core::AvailabilityZoneId, core::RegionId> regionOfZone_;
    std::vector<Upstream> upstreams_;
    std::vector<std::unique_ptr<Vm>> vms_;
    ZoneFleetReport report_;
};

} // namespace teaselreach::proxytest
