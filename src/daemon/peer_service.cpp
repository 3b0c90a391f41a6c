/** @file peer_service.cpp Exchange of revisions and evidence with other daemons. */
#include "core/digest_func.h"
#include "core/log_func.h"
#include "daemon/peer_service_base.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselreach::daemon {

namespace {

constexpr core::Seconds exchangeInterval {1};
/** Interval at which urgent evidence is looked for. */
constexpr core::Millis urgentInterval {50};
/** Most digests in one message. */
constexpr std::size_t maxDigests = 64;
/** Peers that an applied configuration is pushed to. */
constexpr std::size_t pushPeers = 4;
/** Threads for calls: a peer that does not answer holds one for the timeout. */
constexpr int callThreads = 6;

} // namespace

PeerService::PeerService(PeerServiceOptions options, Parts parts)
    : options_(std::move(options))
    , parts_(parts)
    , random_(core::stableHash(options_.self.str()) ^ options_.incarnation.count())
    , calls_({.threads = callThreads, .maxQueued = 64})
    , rounds_(exchangeInterval, [this] { exchangeRound(); })
    , urgent_(urgentInterval, [this] { pushUrgent(); })
{ }

PeerService::~PeerService() = default;

/** Calls this second's peers. */
void PeerService::exchangeRound()
{
    for (const core::VmId &peer : choosePeers())
        calls_.add([this, peer] { exchangeWith(peer); });
}

/** Pushes evidence that should not wait for the next exchange. */
void PeerService::pushUrgent()
{
    if (parts_.upstreams.hasUrgentDigests())
        push();
}

void PeerService::push()
{
    for (const core::VmId &peer : choosePushPeers())
        calls_.add([this, peer] { exchangeWith(peer); });
}

/** @return One peer in the zone, one in another zone of the region, one in another region. */
std::vector<core::VmId> PeerService::choosePeers()
{
    const std::lock_guard lock(mutex_);
    std::array<std::vector<core::VmId>, 3> byDistance;
    for (const core::EntryVm &peer : peers_) {
        const bool sameRegion = peer.location.region == options_.location.region;
        const bool sameZone = peer.location == options_.location;
        byDistance[sameZone ? 0 : (sameRegion ? 1 : 2)].push_back(peer.id);
    }
    std::vector<core::VmId> chosen;
    for (const auto &candidates : byDistance) {
        if (!candidates.empty())
            chosen.push_back(candidates[random_() % candidates.size()]);
    }
    return chosen;
}

/** @return Random peers of the whole fleet. */
std::vector<core::VmId> PeerService::choosePushPeers()
{
    const std::lock_guard lock(mutex_);
    std::vector<core::VmId> chosen;
    std::vector<core::EntryVm> sample;
    std::sample(peers_.begin(), peers_.end(), std::back_inserter(sample), pushPeers, random_);
    chosen.reserve(sample.size());
    for (const core::EntryVm &peer : sample)
        chosen.push_back(peer.id);
    return chosen;
}

/** Sends this VM's message to a peer and takes in its answer. */
void PeerService::exchangeWith(const core::VmId &peer)
{
    const auto endpoint = parts_.directory.endpointOf(peer);
    if (!endpoint)
        return;
    try {
        const nlohmann::json answer = parts_.transport.call(
            *endpoint, "peer.exchange", toJson(makeMessage()), options_.timeout);
        takeMessage(peerMessageFromJson(answer), true);
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Debug, "peer_unanswered",
                       {{"peer", peer.str()}, {"reason", error.what()}});
    } catch (const nlohmann::json::exception &error) {
        core::logEvent(core::LogLevel::Warn, "peer_answer_malformed",
                       {{"peer", peer.str()}, {"reason", error.what()}});
    }
}

nlohmann::json PeerService::answerExchange(const nlohmann::json &params)
{
    takeMessage(peerMessageFromJson(params), false);
    return toJson(makeMessage());
}

/** Takes in what a peer says, in a call or in an answer. */
void PeerService::takeMessage(const PeerMessage &message, bool isAnswer)
{
    const core::MonoTime now = core::MonoClock::now();
    {
        const std::lock_guard lock(mutex_);
        PeerContact &contact = contacts_[message.vm];
        contact.heardAt = now;
        if (isAnswer)
            contact.answeredAt = now;
        contact.incarnation = message.incarnation;
        contact.configRevision = message.configRevision;
        contact.leaving = message.leaving;
    }
    parts_.shared.noteUpdate(now);
    if (message.storeSilence.count() >= 0)
        parts_.shared.noteStoreContact(now - message.storeSilence);
    for (const upstream::EvidenceDigest &digest : message.digests)
        parts_.upstreams.digestReceived(digest);
    parts_.config.peerReported(message.vm, message.configRevision);
    const auto placement = parts_.limits.placement();
    if (message.placementRevision > (placement ? placement->revision : core::Revision(0)))
        calls_.add([this, peer = message.vm] { fetchPlacement(peer); });
}

/** Fetches the placement from a peer that has a higher revision. */
void PeerService::fetchPlacement(const core::VmId &peer)
{
    const auto endpoint = parts_.directory.endpointOf(peer);
    if (!endpoint)
        return;
    try {
        const nlohmann::json answer = parts_.transport.call(
            *endpoint, "limit.placement", nlohmann::json::object(), options_.timeout);
        if (!answer.is_string())
            return;
        parts_.limits.onPlacement(std::make_shared<const limit::Placement>(
            limit::decodePlacement(answer.get<std::string>())));
    } catch (const core::Error &error) {
        core::logEvent(core::LogLevel::Warn, "placement_fetch_failed",
                       {{"peer", peer.str()}, {"code", error.code()}, {"reason", error.what()}});
    }
}

nlohmann::json PeerService::answerPlacement() const
{
    const auto placement = parts_.limits.placement();
    return placement ? nlohmann::json(limit::encodePlacement(*placement)) : nlohmann::json();
}

void PeerService::onVmList(const core::VmList &list)
{
    const std::lock_guard lock(mutex_);
    peers_.clear();
    std::map<core::VmId, PeerContact> listed;
    for (const core::EntryVm &vm : list.entryVms) {
        if (vm.id == options_.self)
            continue;
        peers_.push_back(vm);
        const auto found = contacts_.find(vm.id);
        if (found != contacts_.end())
            listed.insert(*found);
    }
    contacts_ = std::move(listed);
}

std::map<core::VmId, PeerContact> PeerService::contacts() const
{
    const std::lock_guard lock(mutex_);
    return contacts_;
}

/** @return What this VM tells its peers now. */
PeerMessage PeerService::makeMessage()
{
    const auto placement = parts_.limits.placement();
    return {.vm = options_.self,
            .incarnation = options_.incarnation,
            .leaving = parts_.lifecycle.phase() != Phase::Serving,
            .configRevision = parts_.config.inForce().revision,
            .placementRevision = placement ? placement->revision : core::Revision(0),
            .storeSilence = parts_.shared.storeSilence(core::MonoClock::now()),
            .digests = parts_.upstreams.digestsToSend(maxDigests)};
}

} // namespace teaselreach::daemon
