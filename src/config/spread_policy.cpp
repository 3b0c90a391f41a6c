/** @file spread_policy.cpp Chooses store watchers, gossip peers and poll times of a daemon. */
#include "config/spread_policy_base.h"
#include "core/digest_func.h"

#include <algorithm>

namespace teaselreach::config {

namespace {

/// Item of the rendezvous hash by which each zone chooses its watchers.
constexpr std::string_view watcherHashKey = "head-watcher";

/** Adds a random peer that satisfies a predicate and is not in the sample yet, if there is one. */
template <typename Accept>
void sampleOne(const std::vector<core::EntryVm> &peers, const Accept &accept,
               SpreadPolicy::Random &random, std::vector<core::VmId> &sampled)
{
    std::vector<const core::EntryVm *> candidates;
    for (const core::EntryVm &peer : peers) {
        const bool isNew = std::find(sampled.begin(), sampled.end(), peer.id) == sampled.end();
        if (isNew && accept(peer))
            candidates.push_back(&peer);
    }
    if (candidates.empty())
        return;
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    sampled.push_back(candidates[index(random)]->id);
}

} // namespace

SpreadPolicy::SpreadPolicy(core::VmId self, core::Location location, SpreadOptions options,
                           core::MonoTime now)
    : self_(std::move(self))
    , location_(std::move(location))
    , options_(options)
    , nextPoll_(now)
    , pollDelay_(options.pollAfter)
{ }

void SpreadPolicy::setVmList(const std::vector<core::EntryVm> &vms)
{
    peers_.clear();
    std::size_t higherWeights = 0;
    bool listed = false;
    const std::uint64_t own = core::rendezvousWeight(watcherHashKey, self_.str());
    for (const core::EntryVm &vm : vms) {
        if (vm.state != core::VmState::Live)
            continue;
        listed = listed || vm.id == self_;
        if (vm.id == self_)
            continue;
        peers_.push_back(vm);
        const bool sameZone = vm.location == location_;
        if (sameZone && core::rendezvousWeight(watcherHashKey, vm.id.str()) > own)
            ++higherWeights;
    }
    watcher_ = listed && higherWeights < options_.watchersPerZone;
}

std::vector<core::VmId> SpreadPolicy::pushTargets(Random &random) const
{
    std::vector<core::VmId> targets;
    for (std::size_t i = 0; i < options_.pushPeers; ++i)
        sampleOne(
            peers_, [](const core::EntryVm &) { return true; }, random, targets);
    return targets;
}

std::vector<core::VmId> SpreadPolicy::exchangeTargets(Random &random) const
{
    std::vector<core::VmId> targets;
    sampleOne(
        peers_, [this](const core::EntryVm &vm) { return vm.location == location_; }, random,
        targets);
    sampleOne(
        peers_, [this](const core::EntryVm &vm) { return vm.location.region == location_.region; },
        random, targets);
    sampleOne(
        peers_, [](const core::EntryVm &) { return true; }, random, targets);
    return targets;
}

core::Millis SpreadPolicy::storeReadInterval() const
{
    return watcher_ ? options_.watcherReadInterval : options_.readInterval;
}

void SpreadPolicy::noteStoreContact(core::MonoTime at)
{
    if (storeContact_ && *storeContact_ >= at)
        return;
    storeContact_ = at;
    nextPoll_ = std::max(nextPoll_, at + pollDelay_);
}

void SpreadPolicy::notePeerContact(core::MonoTime at, core::Revision peer, core::Revision own)
{
    if (peer <= own)
        noteStoreContact(at);
}

std::optional<core::Micros> SpreadPolicy::storeAge(core::MonoTime now) const
{
    if (!storeContact_)
        return std::nullopt;
    return now - *storeContact_;
}

void SpreadPolicy::notePoll(core::MonoTime now, Random &random)
{
    pollDelay_ = options_.pollAfter + randomJitter(random);
    nextPoll_ = now + pollDelay_;
}

core::Millis SpreadPolicy::randomJitter(Random &random) const
{
    std::uniform_int_distribution<core::Millis::rep> range(0, options_.pollJitter.count());
    return core::Millis(range(random));
}

} // namespace teaselreach::config
