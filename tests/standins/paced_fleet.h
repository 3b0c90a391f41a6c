/** @file paced_fleet.h VMs on a virtual clock that pace accounts and exchange real datagrams. */
#pragma once

#include "fleet/peer_liveness_base.h"
#include "fleet/pool_reports_base.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace teaselreach::standins {

using namespace proxy;

/** Twelve active VMs in three regions that hold 92% of each limit, with one account. */
class PacedFleet
{
public:
    static constexpr std::size_t vms = 12;
    static constexpr std::size_t vmsPerRegion = 4;
    static constexpr core::Millis step {5};
    static constexpr core::Seconds window {5};

    /** Which VM the next request goes to. */
    std::function<std::size_t(std::mt19937_64 &)> ingress;
    /** Whether a datagram is lost. */
    std::function<bool(std::size_t from, std::size_t to)> isLost;
    /** Offered requests per second by priority of their routes. */
    std::vector<double> demand;
    core::MonoTime now {core::Seconds(100)};
    /** Requests beyond the allowed ones in the worst window so far; 0 or less is within it. */
    double worstOverrun = -1e9;
    std::vector<std::vector<int>> admitted; ///< By second since the start, and by priority.
    std::vector<std::vector<int>> offered;

    PacedFleet(Account account, std::uint64_t seed, bool isPaced = true)
        : account_(std::move(account))
        , isPaced_(isPaced)
        , random_(seed)
    {
        ingress = [](std::mt19937_64 &random) { return random() % vms; };
        isLost = [](std::size_t, std::size_t) { return false; };
        for (std::size_t i = 0; i < vms; ++i)
            start(i, true);
    }

    /** @return Requests allowed in a window. */
    double allowed() const { return (account_.ratePerSecond * 5 + account_.burst) * 1.1 + 20; }
    /** Ends a VM's process. */
    void kill(std::size_t vm) { vms_[vm].reset(); }
    /** Starts a VM's process, with empty memory. */
    void start(std::size_t vm, bool isFirst = false)
    {
        AccountRateLimiterOptions options {.overrunRatio = 0.1, .overrunRequests = 20};
        options.pacing.enabled = isPaced_;
        vms_[vm] = std::make_unique<Vm>(vm, options, now, isFirst);
        if (!isFirst)
            vms_[vm]->limiter.processRestarted(now);
        if (isPaced_)
            vms_[vm]->limiter.paced()->configure({&account_, 1});
        vms_[vm]->nextMessage = now + core::Millis(random_() % 50);
    }
    bool isUp(std::size_t vm) const { return vms_[vm] != nullptr; }
    /** Lets time pass. */
    void run(core::Micros time)
    {
        for (const core::MonoTime end = now + time; now < end; now += step) {
            deliver();
            for (std::size_t vm = 0; vm < vms; ++vm)
                tick(vm);
            for (std::size_t priority = 0; priority < demand.size(); ++priority)
                offer(static_cast<int>(priority));
        }
    }
    /** @return Admitted requests per second of the rate, of all priorities or of one, in a second
     * since the start. */
    double ratio(std::size_t second, std::optional<std::size_t> priority = std::nullopt) const
    {
        double sum = 0;
        for (std::size_t i = 0; second < admitted.size() && i < admitted[second].size(); ++i)
            sum += !priority || *priority == i ? admitted[second][i] : 0;
        return sum / account_.ratePerSecond;
    }

private:
    static constexpr double share = 0.92 / vms;

    struct Vm
    {
        Vm(std::size_t index, AccountRateLimiterOptions options, core::MonoTime now, bool isFirst)
            : limiter(options)
            , coverage(window, now, isFirst)
        {
            if (limiter.paced() != nullptr)
                reports.emplace(idOf(index), *limiter.paced(), coverage);
        }

        AccountRateLimiter limiter;
        PoolUsageCoverage coverage;
        std::optional<PoolReports> reports;
        core::MonoTime nextMessage {};
        core::MonoTime sentAt {};
        std::vector<core::MonoTime> heardAt = std::vector<core::MonoTime>(vms);
    };
    struct Datagram
    {
        core::MonoTime due;
        std::size_t from;
        std::size_t to;
        std::string bytes;
        bool operator>(const Datagram &other) const { return due > other.due; }
    };

    static core::VmId idOf(std::size_t vm) { return core::VmId("vm-" + std::to_string(vm)); }

    void tick(std::size_t index)
    {
        if (!isUp(index) || now < vms_[index]->nextMessage)
            return;
        Vm &vm = *vms_[index];
        vm.nextMessage += core::Millis(50);
        vm.coverage.membershipObserved(now, true);
        const std::size_t first = index / vmsPerRegion * vmsPerRegion;
        std::vector<PoolMember> members;
        double pool = share;
        for (std::size_t peer = first; peer < first + vmsPerRegion; ++peer) {
            if (peer == index)
                continue;
            members.push_back({.id = idOf(peer), .share = share});
            pool += now - vm.heardAt[peer] < PeerLiveness::timeout ? share : 0;
        }
        if (!vm.reports)
            vm.limiter.setShares(share, vm.coverage.isComplete(now) ? pool : share);
        else
            vm.reports->updateShares(now, share, members);
        PeerMessage message {.sender = idOf(index)};
        if (vm.reports)
            vm.reports->fill(now, message);
        else
            message.usage = vm.limiter.takeUsage();
        if (!message.usage.empty() || now - vm.sentAt >= PoolReports::messageInterval) {
            vm.sentAt = now;
            for (std::size_t peer = first; peer < first + vmsPerRegion; ++peer)
                send(index, peer, message);
        }
        if (!vm.reports)
            return;
        for (const PoolReports::Answer &answer : vm.reports->takeAnswers(now)) {
            for (std::size_t peer = first; peer < first + vmsPerRegion; ++peer) {
                if (idOf(peer) == answer.receiver)
                    send(index, peer, answer.message);
            }
        }
    }
    void send(std::size_t from, std::size_t to, const PeerMessage &message)
    {
        if (from == to || isLost(from, to))
            return;
        datagrams_.push({.due = now + core::Micros(1000 + random_() % 24000),
                         .from = from,
                         .to = to,
                         .bytes = encodeMessage(message)});
    }
    void deliver()
    {
        for (; !datagrams_.empty() && datagrams_.top().due <= now; datagrams_.pop()) {
            const Datagram &datagram = datagrams_.top();
            if (!isUp(datagram.to))
                continue;
            Vm &vm = *vms_[datagram.to];
            vm.heardAt[datagram.from] = now;
            const std::optional<PeerMessage> message = decodeMessage(datagram.bytes);
            if (vm.reports)
                vm.reports->receive(now, *message);
            for (const AccountUsage &usage : message->usage) {
                if (!vm.reports)
                    vm.limiter.usageReported(now, usage);
            }
        }
    }
    void offer(int priority)
    {
        const double expected = demand[static_cast<std::size_t>(priority)]
            * std::chrono::duration<double>(step).count();
        const int requests = std::poisson_distribution<int>(expected)(random_);
        for (int i = 0; i < requests; ++i) {
            const std::size_t vm = ingress(random_);
            record(offered, priority);
            if (!isUp(vm))
                continue;
            if (vms_[vm]->limiter.decide(now, account_, priority) != AdmissionReason::Admitted)
                continue;
            record(admitted, priority);
            inWindow_.push_back(now);
            while (now - inWindow_.front() > window)
                inWindow_.pop_front();
            worstOverrun =
                std::max(worstOverrun, static_cast<double>(inWindow_.size()) - allowed());
        }
    }
    void record(std::vector<std::vector<int>> &counts, int priority) const
    {
        const auto second = static_cast<std::size_t>((now - startedAt_) / core::Seconds(1));
        counts.resize(std::max(counts.size(), second + 1), std::vector<int>(demand.size()));
        ++counts[second][static_cast<std::size_t>(priority)];
    }

    Account account_;
    bool isPaced_;
    std::mt19937_64 random_;
    core::MonoTime startedAt_ = now;
    std::vector<std::unique_ptr<Vm>> vms_ = std::vector<std::unique_ptr<Vm>>(vms);
    std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> datagrams_;
    std::deque<core::MonoTime> inWindow_;
};

} // namespace teaselreach::standins
