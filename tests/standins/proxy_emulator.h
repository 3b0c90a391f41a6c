/** @file proxy_emulator.h Dispatchers of many VMs before emulated upstreams, in virtual time. */
#pragma once

#include "placement/dispatcher_base.h"
#include "proxy/execution_evidence_base.h"
#include "standins/emulator_type.h"
#include "standins/event_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace teaselreach::standins {

/**
 * Plays a load against the product's dispatchers, one for each VM, with upstreams that work, queue,
 * shed and fail. One thread, virtual time, one seed: each run gives the same result.
 */
template <proxy::UpstreamChooser Chooser>
class ProxyEmulator
{
public:
    /** Makes the chooser of a VM in a zone. */
    using MakeChooser =
        std::function<std::unique_ptr<Chooser>(const proxy::UpstreamTableOptions &, std::uint64_t)>;

    ProxyEmulator(EmulatedLoad load, std::vector<EmulatedKind> kinds, MakeChooser makeChooser,
                  std::uint64_t seed, proxy::DispatcherOptions options = {})
        : load_(std::move(load))
        , options_(options)
        , kinds_(std::move(kinds))
        , makeChooser_(std::move(makeChooser))
        , random_(seed)
        , periodRandom_(seed)
    {
        makeUpstreams();
        makeVms();
    }

    /** Plays the whole load. @return What came of it. */
    EmulatedReport run()
    {
        for (const EmulatedDisturbance &disturbance : load_.disturbances)
            schedule(disturbance);
        for (std::size_t i = 0; load_.failingPeriods.failureRate > 0 && i < upstreams_.size(); ++i)
            scheduleFailingPeriods(i);
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
            scheduleArrival(kind);
        scheduleTick();
        const core::MonoTime end = start + load_.length;
        while (!events_.empty()) {
            const core::MonoTime next = events_.nextTime();
            if ((next > end && open_ == 0) || next > end + longestDrain)
                break;
            events_.runNext();
        }
        return report_;
    }

private:
    static constexpr core::MonoTime start {core::Seconds(1000)};
    static constexpr core::Millis tickInterval {25};
    /** Time after the last arrival at which requests without an answer are given up. */
    static constexpr core::Seconds longestDrain {30};
    /** Ticks between two exchanges of reports between VMs. */
    static constexpr int ticksPerReport = 2;
    /** Part of a request's mean work after which a failing upstream answers with its error. */
    static constexpr double errorWorkPart = 0.3;

    struct Job;
    using JobPtr = std::shared_ptr<Job>;

    /** One attempt as its upstream sees it. */
    struct Work
    {
        JobPtr job;
        proxy::AttemptMark mark;
        std::uint64_t attempt = 0;
        core::Micros duration {0};
        bool fails = false;
        bool running = false;
    };
    using WorkPtr = std::shared_ptr<Work>;

    struct Upstream
    {
        proxy::UpstreamEntry entry;
        int zone = 0;
        std::set<WorkPtr> running;
        std::deque<WorkPtr> queue;
        double slowness = 1;
        double errorShare = 0;
        double shedShare = 0;
        bool mute = false;
        bool gone = false;
    };

    struct Vm
    {
        int zone = 0;
        std::unique_ptr<Chooser> chooser;
        std::unique_ptr<proxy::Dispatcher<Chooser>> dispatcher;
        std::map<proxy::WaitTicket, JobPtr> waiting;
        int generation = 0; ///< Attempts of an earlier process are not reported to this one.
    };

    /** A request on its way. */
    struct Job
    {
        std::size_t kind = 0;
        int vm = 0;
        int generation = 0;
        proxy::DispatchRequest request;
        proxy::ExecutionEvidence evidence;
        std::optional<proxy::Placement> placement; ///< Of the attempt under way.
        core::MonoTime attemptAt {};
        WorkPtr work;
        int arrivals = 0;
        int resends = 0; ///< Left for a caller that repeats at once.
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    core::Micros oneWay(int fromZone, int toZone) const
    {
        constexpr core::Micros inZone {200};
        constexpr core::Micros inRegion {900};
        constexpr core::Micros far {core::Millis(20)};
        if (fromZone == toZone)
            return inZone;
        return fromZone / load_.zonesPerRegion == toZone / load_.zonesPerRegion ? inRegion : far;
    }

    static core::AvailabilityZoneId zoneId(int zone)
    {
        return core::AvailabilityZoneId("z" + std::to_string(zone));
    }

    core::RegionId regionId(int zone) const
    {
        return core::RegionId("r" + std::to_string(zone / load_.zonesPerRegion));
    }

    void makeUpstreams()
    {
        for (int i = 0; i < load_.zones * load_.upstreamsPerZone; ++i) {
            const int zone = i % load_.zones;
            upstreams_.push_back(
                {.entry = {.id = core::UpstreamId("u" + std::to_string(100 + i)),
                           .service = kinds_.front().route.destinations.front().service,
                           .address = "10.0.0." + std::to_string(i),
                           .port = 80,
                           .availabilityZone = zoneId(zone),
                           .slots = load_.slots},
                 .zone = zone});
            byId_[upstreams_.back().entry.id] = upstreams_.size() - 1;
        }
        report_.upstreams.resize(upstreams_.size());
    }

    void makeVms()
    {
        for (int i = 0; i < load_.zones * load_.vmsPerZone; ++i) {
            vms_.push_back({.zone = i % load_.zones});
            startVm(vms_.back());
        }
    }

    void startVm(Vm &vm)
    {
        proxy::UpstreamTableOptions options {
            .self = {.availabilityZone = zoneId(vm.zone), .region = regionId(vm.zone)}};
        for (int zone = 0; zone < load_.zones; ++zone)
            options.regionOfZone[zoneId(zone)] = regionId(zone);
        vm.chooser = makeChooser_(options, random_());
        setTrialVms(vm);
        for (const Upstream &upstream : upstreams_)
            vm.chooser->update(start, upstream.entry);
        vm.dispatcher = std::make_unique<proxy::Dispatcher<Chooser>>(*vm.chooser, options_);
        vm.dispatcher->setFleetShare(1.0 / (load_.zones * load_.vmsPerZone));
        ++vm.generation;
    }

    static core::VmId vmId(std::size_t index) { return core::VmId("vm" + std::to_string(index)); }

    void setTrialVms(Vm &vm)
    {
        if constexpr (requires { vm.chooser->setTrialVms(core::VmId(), {}); }) {
            const auto self = static_cast<std::size_t>(&vm - vms_.data());
            std::vector<core::VmId> peers;
            for (int i = vm.zone; i < load_.zones * load_.vmsPerZone; i += load_.zones) {
                const auto index = static_cast<std::size_t>(i);
                if (index != self)
                    peers.push_back(vmId(index));
            }
            vm.chooser->setTrialVms(vmId(self), std::move(peers));
        }
    }

    // Disturbances.

    void schedule(const EmulatedDisturbance &disturbance)
    {
        const core::MonoTime begin = start + disturbance.at;
        events_.at(begin, [this, &disturbance] { apply(disturbance, true); });
        if (disturbance.trouble != EmulatedTrouble::Restart)
            events_.at(begin + disturbance.length,
                       [this, &disturbance] { apply(disturbance, false); });
    }

    void apply(const EmulatedDisturbance &disturbance, bool begins)
    {
        switch (disturbance.trouble) {
        case EmulatedTrouble::Burst:
            rateFactor_ = begins ? disturbance.factor : 1;
            return;
        case EmulatedTrouble::Shift:
            shiftShare_ = begins ? disturbance.share : 0;
            return;
        case EmulatedTrouble::Repeats:
            resendShare_ = begins ? disturbance.share : 0;
            resends_ = static_cast<int>(disturbance.factor);
            return;
        case EmulatedTrouble::Restart:
            restartVms();
            return;
        default:
            break;
        }
        const auto count = static_cast<std::size_t>(
            std::lround(disturbance.share * static_cast<double>(upstreams_.size())));
        // Spread over the zones: each takes its part of the trouble.
        for (std::size_t i = 0; i < count; ++i)
            afflict(upstreams_[i * 5 % upstreams_.size()], disturbance, begins);
    }

    void afflict(Upstream &upstream, const EmulatedDisturbance &disturbance, bool begins)
    {
        switch (disturbance.trouble) {
        case EmulatedTrouble::Slow:
            upstream.slowness = begins ? disturbance.factor : 1;
            break;
        case EmulatedTrouble::Errors:
            upstream.errorShare = begins ? disturbance.factor : 0;
            break;
        case EmulatedTrouble::Mute:
            upstream.mute = begins;
            break;
        case EmulatedTrouble::Shed:
            upstream.shedShare = begins ? disturbance.factor : 0;
            break;
        case EmulatedTrouble::Gone:
            upstream.gone = begins;
            if (begins)
                breakAll(upstream);
            break;
        default:
            break;
        }
    }

    /** Draws the periods from a generator of their own: all policies meet the same ones. */
    void scheduleFailingPeriods(std::size_t index)
    {
        const EmulatedFailingPeriods &periods = load_.failingPeriods;
        std::exponential_distribution<double> sound(
            1e6 / static_cast<double>(periods.meanSound.count()));
        std::uniform_real_distribution<double> length(static_cast<double>(periods.shortest.count()),
                                                      static_cast<double>(periods.longest.count()));
        core::MonoTime begin = start;
        while ((begin += seconds(sound(periodRandom_))) < start + load_.length) {
            const core::MonoTime end =
                begin + core::Micros(static_cast<std::int64_t>(length(periodRandom_)));
            report_.upstreams[index].failing.emplace_back(begin, end);
            events_.at(begin, [this, index] {
                upstreams_[index].errorShare = load_.failingPeriods.failureRate;
            });
            events_.at(end, [this, index] { upstreams_[index].errorShare = 0; });
            begin = end;
        }
    }

    void breakAll(Upstream &upstream)
    {
        std::vector<WorkPtr> lost(upstream.running.begin(), upstream.running.end());
        lost.insert(lost.end(), upstream.queue.begin(), upstream.queue.end());
        upstream.running.clear();
        upstream.queue.clear();
        for (const WorkPtr &work : lost)
            answer(upstream, work, proxy::AttemptEnd::Broken);
    }

    void restartVms()
    {
        for (Vm &vm : vms_) {
            // Connections break; what waited has not run and what was sent may have run.
            for (const auto &[ticket, job] : vm.waiting)
                finish(job, &EmulatedOutcome::failed);
            vm.waiting.clear();
            startVm(vm);
        }
    }

    // Arrivals.

    void scheduleArrival(std::size_t kind)
    {
        const double rate = kinds_[kind].perSecond * load_.scale * rateFactor_;
        const double wait = -std::log(1 - chance()) / rate;
        const core::MonoTime time = std::max(events_.now(), start) + seconds(wait);
        if (time > start + load_.length)
            return;
        events_.at(time, [this, kind] {
            arrive(kind, resendShare_ > 0 && chance() < resendShare_ ? resends_ : 0);
            scheduleArrival(kind);
        });
    }

    static core::Micros seconds(double count)
    {
        return std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(count));
    }

    void arrive(std::size_t kind, int resends)
    {
        const EmulatedKind &of = kinds_[kind];
        std::size_t vm = random_() % vms_.size();
        if (shiftShare_ > 0 && chance() < shiftShare_)
            vm = vm / static_cast<std::size_t>(load_.zones) * static_cast<std::size_t>(load_.zones);
        const auto job = std::make_shared<Job>();
        job->kind = kind;
        job->vm = static_cast<int>(vm);
        job->generation = vms_[vm].generation;
        job->resends = resends;
        job->request = {.service = of.route.destinations.front().service,
                        .route = &of.route,
                        .arrivedAt = events_.now(),
                        .deadline = events_.now() + of.route.timeout};
        ++report_.kinds[of.route.id.str()].asked;
        report_.owed += of.worth;
        windowOf(job->request.arrivedAt).second += of.worth;
        ++open_;
        requestsAt_.push_back(events_.now());
        vms_[vm].dispatcher->requestArrived(events_.now(), job->request.service);
        submit(job);
    }

    // The VM.

    void submit(const JobPtr &job)
    {
        Vm &vm = vms_[static_cast<std::size_t>(job->vm)];
        const proxy::DispatchResult result = vm.dispatcher->submit(events_.now(), job->request);
        if (result.evicted)
            decide(vm, {*result.evicted});
        if (result.placement)
            send(job, *result.placement);
        else if (result.wait)
            vm.waiting[*result.wait] = job;
        else
            refuse(job);
    }

    void decide(Vm &vm, const std::vector<proxy::DispatchDecision> &decisions)
    {
        for (const proxy::DispatchDecision &decision : decisions) {
            const JobPtr job = vm.waiting.at(decision.ticket);
            vm.waiting.erase(decision.ticket);
            if (decision.result.placement)
                send(job, *decision.result.placement);
            else
                refuse(job);
        }
    }

    void refuse(const JobPtr &job)
    {
        if (job->request.sent == 0)
            report_.longestHeldRefusal =
                std::max(report_.longestHeldRefusal, events_.now() - job->request.arrivedAt);
        finish(job,
               job->evidence.mayHaveExecuted() ? &EmulatedOutcome::failed
                                               : &EmulatedOutcome::refused);
    }

    void finish(const JobPtr &job, int EmulatedOutcome::*end)
    {
        const EmulatedKind &kind = kinds_[job->kind];
        ++(report_.kinds[kind.route.id.str()].*end);
        const double earned = end == &EmulatedOutcome::inTime ? kind.worth
            : end == &EmulatedOutcome::late                   ? kind.lateWorth
                                                              : 0;
        report_.earned += earned;
        windowOf(job->request.arrivedAt).first += earned;
        const bool isServed = end == &EmulatedOutcome::inTime || end == &EmulatedOutcome::late;
        report_.ended.emplace_back(events_.now(), isServed);
        Vm &vm = vms_[static_cast<std::size_t>(job->vm)];
        if constexpr (requires {
                          vm.chooser->requestFinished(events_.now(), job->request.service,
                                                      isServed);
                      })
            vm.chooser->requestFinished(events_.now(), job->request.service, isServed);
        --open_;
        if (end == &EmulatedOutcome::refused && job->resends > 0)
            arrive(job->kind, job->resends - 1);
    }

    void send(const JobPtr &job, const proxy::Placement &placement)
    {
        Vm &vm = vms_[static_cast<std::size_t>(job->vm)];
        Upstream &upstream = upstreams_[byId_.at(placement.upstream)];
        job->placement = placement;
        job->attemptAt = events_.now();
        job->request.retryGranted = false;
        const auto work = std::make_shared<Work>();
        work->job = job;
        job->evidence.attemptStarted(work->mark);
        work->attempt = placement.attempt;
        work->fails = chance() < upstream.errorShare;
        work->duration = workTime(kinds_[job->kind], upstream, work->fails);
        job->work = work;
        const core::Micros way = oneWay(vm.zone, upstream.zone);
        events_.at(events_.now() + way, [this, &upstream, work] { receive(upstream, work); });
        events_.at(job->request.deadline, [this, work] { giveUp(work); });
        const core::Micros soft =
            vm.dispatcher->softTimeout(events_.now(), job->request, placement);
        if (soft > core::Micros(0))
            events_.at(events_.now() + soft, [this, work] { softTimeout(work); });
    }

    bool isUnderWay(const WorkPtr &work) const { return work->job->work == work; }

    void softTimeout(const WorkPtr &work)
    {
        Vm &vm = vms_[static_cast<std::size_t>(work->job->vm)];
        if (!isUnderWay(work) || work->job->generation != vm.generation)
            return;
        if (vm.dispatcher->grantAbandon(events_.now(), work->job->request,
                                        work->job->placement->upstream))
            giveUp(work);
        else
            events_.at(events_.now() + options_.softTimeoutInterval,
                       [this, work] { softTimeout(work); });
    }

    void giveUp(const WorkPtr &work)
    {
        if (!isUnderWay(work))
            return;
        Upstream &upstream = upstreams_[byId_.at(work->job->placement->upstream)];
        // Closing the connection frees the upstream's slot.
        leave(upstream, work);
        ended(work, proxy::AttemptEnd::TimedOut, std::nullopt);
    }

    void ended(const WorkPtr &work, proxy::AttemptEnd end,
               const std::optional<proxy::LoadReport> &load)
    {
        if (!isUnderWay(work))
            return;
        const JobPtr job = work->job;
        job->work = nullptr;
        Vm &vm = vms_[static_cast<std::size_t>(job->vm)];
        if (job->generation != vm.generation) {
            finish(job, &EmulatedOutcome::failed);
            return;
        }
        const proxy::Placement placement = *job->placement;
        job->evidence.attemptEnded(work->mark, {.end = end});
        decide(vm,
               vm.dispatcher->attemptFinished({.upstream = placement.upstream,
                                               .route = job->request.route->id,
                                               .attempt = placement.attempt,
                                               .end = end,
                                               .startedAt = job->attemptAt,
                                               .endedAt = events_.now(),
                                               .status = {.load = load}},
                                              job->request));
        if (end == proxy::AttemptEnd::Answered) {
            const bool inTime =
                events_.now() - job->request.arrivedAt <= job->request.route->targetLatency;
            finish(job, inTime ? &EmulatedOutcome::inTime : &EmulatedOutcome::late);
        } else if (vm.dispatcher->grantRetry(events_.now(), job->request, end)) {
            submit(job);
        } else {
            finish(job,
                   job->evidence.mayHaveExecuted() ? &EmulatedOutcome::failed
                                                   : &EmulatedOutcome::refused);
        }
    }

    // The upstream.

    core::Micros workTime(const EmulatedKind &kind, const Upstream &upstream, bool fails)
    {
        constexpr double spread = 0.4;
        std::lognormal_distribution<double> distribution(-spread * spread / 2, spread);
        const double factor =
            distribution(random_) * upstream.slowness * (fails ? errorWorkPart : 1);
        return std::chrono::duration_cast<core::Micros>(kind.meanWork * factor);
    }

    proxy::LoadReport loadOf(const Upstream &upstream) const
    {
        return {.running = static_cast<int>(upstream.running.size()),
                .waiting = static_cast<int>(upstream.queue.size()),
                .slots = load_.slots};
    }

    void receive(Upstream &upstream, const WorkPtr &work)
    {
        if (!isUnderWay(work))
            return;
        if (upstream.gone) {
            answer(upstream, work, proxy::AttemptEnd::NotSent);
            return;
        }
        if (work->job->arrivals++ > 0)
            countRepeat();
        recordArrival(upstream);
        if (upstream.shedShare > 0 && chance() < upstream.shedShare) {
            ++report_.sheds;
            answer(upstream, work, proxy::AttemptEnd::NotExecuted);
            return;
        }
        if (static_cast<int>(upstream.running.size()) < load_.slots) {
            run(upstream, work);
        } else if (static_cast<int>(upstream.queue.size()) < load_.upstreamQueue) {
            upstream.queue.push_back(work);
        } else {
            ++report_.sheds;
            answer(upstream, work, proxy::AttemptEnd::NotExecuted);
        }
    }

    void recordArrival(const Upstream &upstream)
    {
        EmulatedUpstreamHistory &history = report_.upstreams[byId_.at(upstream.entry.id)];
        history.receivedAt.push_back(events_.now());
        history.mostAtOnce =
            std::max(history.mostAtOnce,
                     static_cast<int>(upstream.running.size() + upstream.queue.size()) + 1);
    }

    void run(Upstream &upstream, const WorkPtr &work)
    {
        upstream.running.insert(work);
        work->running = true;
        if (upstream.mute)
            return;
        events_.at(events_.now() + work->duration, [this, &upstream, work] {
            if (upstream.running.count(work) == 0)
                return;
            const bool fails = work->fails;
            leave(upstream, work);
            answer(upstream, work,
                   fails ? proxy::AttemptEnd::ServerError : proxy::AttemptEnd::Answered);
        });
    }

    void leave(Upstream &upstream, const WorkPtr &work)
    {
        std::erase(upstream.queue, work);
        if (upstream.running.erase(work) == 0 || upstream.queue.empty())
            return;
        const WorkPtr next = upstream.queue.front();
        upstream.queue.pop_front();
        run(upstream, next);
    }

    void answer(const Upstream &upstream, const WorkPtr &work, proxy::AttemptEnd end)
    {
        const auto vm = static_cast<std::size_t>(work->job->vm);
        std::optional<proxy::LoadReport> load;
        if (end != proxy::AttemptEnd::NotSent && end != proxy::AttemptEnd::Broken)
            load = loadOf(upstream);
        events_.at(events_.now() + oneWay(vms_[vm].zone, upstream.zone),
                   [this, work, end, load] { ended(work, end, load); });
    }

    // Accounts, budget and ticks.

    std::pair<double, double> &windowOf(core::MonoTime arrivedAt)
    {
        constexpr core::Micros length = core::Seconds(2);
        const auto index = static_cast<std::size_t>((arrivedAt - start) / length);
        if (index >= report_.windows.size())
            report_.windows.resize(index + 1);
        return report_.windows[index];
    }

    void countRepeat()
    {
        ++report_.repeats;
        repeatsAt_.push_back(events_.now());
        checkBudget();
    }

    /** Checks the retry budget of the window that ends now by its rule: the requests of the window,
     * of the one half a window before it or of the one before it, whichever has most. Windows that
     * end without a retry are checked too, since they may have fewer requests. */
    void checkBudget()
    {
        const proxy::RetryBudgetOptions &budget = options_.retries;
        const core::MonoTime now = events_.now();
        while (!repeatsAt_.empty() && now - repeatsAt_.front() > budget.window)
            repeatsAt_.pop_front();
        while (!requestsAt_.empty() && now - requestsAt_.front() > 2 * budget.window)
            requestsAt_.pop_front();
        const auto requestsUntil = [&](core::MonoTime end) {
            const auto first =
                std::lower_bound(requestsAt_.begin(), requestsAt_.end(), end - budget.window);
            return std::upper_bound(first, requestsAt_.end(), end) - first;
        };
        const auto most = std::max({requestsUntil(now), requestsUntil(now - budget.window / 2),
                                    requestsUntil(now - budget.window)});
        const double allowed = budget.ratio * static_cast<double>(most) + budget.slack;
        report_.worstRepeats =
            std::max(report_.worstRepeats, static_cast<double>(repeatsAt_.size()) / allowed);
    }

    void scheduleTick()
    {
        events_.at(std::max(events_.now(), start) + tickInterval, [this] {
            for (Vm &vm : vms_)
                decide(vm, vm.dispatcher->dispatchWaiting(events_.now()));
            checkBudget();
            if (++ticks_ % ticksPerReport == 0)
                exchangeReports();
            scheduleTick();
        });
    }

    /** What VMs tell each other, as the daemons do it: all in the region, turns everywhere. */
    void exchangeReports()
    {
        if constexpr (requires(Chooser & chooser) { chooser.takeReports(); }) {
            for (const Vm &from : vms_) {
                for (const proxy::OutcomeReport &outcome : from.chooser->takeReports())
                    tellOthers(from, outcome);
            }
        }
    }

    void tellOthers(const Vm &from, const proxy::OutcomeReport &outcome)
    {
        for (Vm &to : vms_) {
            const bool sameRegion = regionId(to.zone) == regionId(from.zone);
            if (&to == &from || (!sameRegion && !outcome.suspicionChanged))
                continue;
            events_.at(events_.now() + oneWay(from.zone, to.zone), [this, &to, outcome] {
                to.chooser->peerOutcomeReported(events_.now(), outcome);
            });
        }
    }

    EmulatedLoad load_;
    proxy::DispatcherOptions options_;
    std::vector<EmulatedKind> kinds_;
    MakeChooser makeChooser_;
    std::mt19937_64 random_;
    std::mt19937_64 periodRandom_;
    std::vector<Upstream> upstreams_;
    std::map<core::UpstreamId, std::size_t> byId_;
    std::vector<Vm> vms_;
    EventQueue events_ {start};
    double rateFactor_ = 1;
    double shiftShare_ = 0;
    double resendShare_ = 0;
    int resends_ = 0;
    int open_ = 0; ///< Requests without a final answer.
    int ticks_ = 0;
    std::deque<core::MonoTime> requestsAt_;
    std::deque<core::MonoTime> repeatsAt_;
    EmulatedReport report_;
};

} // namespace teaselreach::standins
