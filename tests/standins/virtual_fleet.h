/** @file virtual_fleet.h VMs on a virtual clock that exchange the messages of a limit strategy. */
#pragma once

#include "limit/limit_state_base.h"
#include "standins/event_queue.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace teaselreach::standins {

/** One VM: a strategy, its clock and what waits in the sockets of a suspended process. */
template <limit::LimitStrategy Strategy>
struct VirtualVm
{
    core::VmId id;
    std::unique_ptr<Strategy> strategy; ///< Not set while the process is down.
    double clockSpeed = 1;
    core::Micros clockOffset {};
    bool frozen = false;
    std::vector<Action> backlog;
    std::unordered_map<std::uint64_t, core::MonoTime> waiting; ///< Arrival by ticket.
    std::optional<core::MonoTime> timer;
    std::uint64_t messages = 0; ///< Sent: requests and answers.

    /** @return The VM's own clock. */
    core::MonoTime localTime(core::MonoTime now) const
    {
        const auto elapsed = static_cast<double>(now.time_since_epoch().count()) * clockSpeed;
        return core::MonoTime(core::Micros(static_cast<std::int64_t>(elapsed)) + clockOffset);
    }
    /** @return The virtual time at which the VM's clock has surely reached a time. */
    core::MonoTime virtualTime(core::MonoTime local) const
    {
        const auto elapsed = static_cast<double>((local - clockOffset).time_since_epoch().count());
        return core::MonoTime(core::Micros(static_cast<std::int64_t>(elapsed / clockSpeed) + 1));
    }
};

/** Connects strategies through a network that the test decides on. */
template <limit::LimitStrategy Strategy>
class VirtualFleet
{
public:
    using Vm = VirtualVm<Strategy>;
    /** Time a message takes; nothing if it is lost. */
    std::function<std::optional<core::Micros>(const Vm &from, const Vm &to)> network;
    /** Called for every decision with the time at which the request arrived. */
    std::function<void(Vm &vm, core::MonoTime arrivedAt, limit::Decision decision)> decided;

    /** Adds a VM without a process. */
    Vm &add(const core::VmId &id)
    {
        vms_.push_back(std::make_unique<Vm>());
        vms_.back()->id = id;
        byId_[id] = vms_.back().get();
        return *vms_.back();
    }
    /** Starts a process with empty memory; the requests of its predecessor are lost. */
    Strategy &start(Vm &vm, std::unique_ptr<Strategy> strategy)
    {
        stop(vm);
        vm.strategy = std::move(strategy);
        return *vm.strategy;
    }
    /** Ends the process. */
    void stop(Vm &vm)
    {
        vm.strategy.reset();
        vm.backlog.clear();
        vm.waiting.clear();
        vm.timer.reset();
        vm.frozen = false;
    }
    /** Resumes a suspended process, which then handles what has arrived. */
    void wake(Vm &vm)
    {
        vm.frozen = false;
        for (const Action &action : std::exchange(vm.backlog, {}))
            action();
    }
    /** Runs a call on a VM's process: at once, after its resumption, or never if it is down. */
    template <typename Call>
    void onVm(Vm &vm, Call call)
    {
        if (vm.strategy == nullptr)
            return;
        if (vm.frozen) {
            vm.backlog.push_back([this, &vm, call] { onVm(vm, call); });
            return;
        }
        call(*vm.strategy, vm.localTime(events.now()));
        pump(vm);
    }
    /** A request arrives at a VM. */
    void request(Vm &vm, const core::ClientAccountId &account, core::Micros maxWait)
    {
        const core::MonoTime arrivedAt = events.now();
        onVm(vm, [this, &vm, account, maxWait, arrivedAt](Strategy &strategy, core::MonoTime now) {
            const limit::AdmissionResult admission = strategy.tryAdmit(now, account, maxWait);
            if (admission.decision == limit::Decision::Pending)
                vm.waiting.emplace(admission.ticket.count(), arrivedAt);
            else
                decided(vm, arrivedAt, admission.decision);
        });
    }
    /** @return All VMs ever added. */
    const std::vector<std::unique_ptr<Vm>> &vms() const { return vms_; }

    EventQueue events;

private:
    void pump(Vm &vm)
    {
        limit::LimitOutput output = vm.strategy->takeOutput();
        for (limit::OutgoingBorrowRequest &borrow : output.borrowRequests)
            sendRequest(vm, *byId_.at(borrow.to), std::move(borrow.request));
        for (const limit::ResolvedTicket &resolved : output.resolved) {
            const auto request = vm.waiting.extract(resolved.ticket.count());
            if (!request.empty())
                decided(vm, request.mapped(), resolved.decision);
        }
        startTimer(vm);
    }
    void startTimer(Vm &vm)
    {
        const std::optional<core::MonoTime> due = vm.strategy->nextDue();
        if (!due.has_value() || (vm.timer.has_value() && *vm.timer <= *due))
            return;
        vm.timer = due;
        events.at(vm.virtualTime(*due), [this, &vm, due] {
            if (vm.timer != due)
                return;
            vm.timer.reset();
            onVm(vm, [](Strategy &strategy, core::MonoTime now) { strategy.runDueWork(now); });
        });
    }
    void sendRequest(Vm &from, Vm &to, limit::BorrowRequest request)
    {
        ++from.messages;
        const std::optional<core::Micros> delay = network(from, to);
        if (!delay.has_value())
            return;
        events.at(events.now() + *delay, [this, &from, &to, request = std::move(request)] {
            if (to.strategy == nullptr)
                refuseConnection(from, request);
            onVm(to, [this, &from, &to, request](Strategy &strategy, core::MonoTime now) {
                sendAnswer(to, from, strategy.onBorrowRequest(now, request));
            });
        });
    }
    void sendAnswer(Vm &from, Vm &to, limit::BorrowAnswer answer)
    {
        ++from.messages;
        const std::optional<core::Micros> delay = network(from, to);
        if (!delay.has_value())
            return;
        events.at(events.now() + *delay, [this, &to, answer = std::move(answer)] {
            onVm(to, [answer](Strategy &strategy, core::MonoTime now) {
                strategy.onBorrowAnswer(now, answer);
            });
        });
    }
    void refuseConnection(Vm &to, const limit::BorrowRequest &request)
    {
        onVm(to, [request](Strategy &strategy, core::MonoTime now) {
            strategy.onBorrowFailed(now, request.account, request.id);
        });
    }

    std::vector<std::unique_ptr<Vm>> vms_;
    std::map<core::VmId, Vm *> byId_;
};

} // namespace teaselreach::standins
