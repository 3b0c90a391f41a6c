/** @file peer_service.cpp Exchanges membership, revisions and evidence with peers. */
#include "core/log_func.h"
#include "daemon/peer_service_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

namespace {

constexpr core::Seconds exchangeInterval {1};
/** Interval between checks for urgent evidence. */
constexpr core::Millis urgentCheckInterval {50};
/** Maximum number of digests in one message. */
constexpr std::size_t maxDigestsPerMessage = 64;
/** Threads for calls: a peer that does not answer blocks one for the timeout. */
constexpr int callThreads = 6;

} // namespace

PeerService::PeerService(PeerServiceOptions options, Parts parts)
    : options_(std::move(options))
    , parts_(parts)
    , memberTable_(options_.self, options_.incarnation)
    , callQueue_({.threads = callThreads, .maxQueued = 64})
    , exchangeTicker_(exchangeInterval, [this] { runExchangeRound(); })
    , urgentTicker_(urgentCheckInterval, [this] { pushUrgentDigests(); })
{ }

PeerService::~PeerService() = default;

/** Queues the calls of one regular round. */
void PeerService::runExchangeRound()
{
    {
        const std::lock_guard lock(mutex_);
        memberTable_.beginRound();
    }
    for (const core::VmId &peer : parts_.spread.exchangeTargets())
        callQueue_.add([this, peer] { exchangeWith(peer); });
}

/** Pushes evidence that should not wait for the next round. */
void PeerService::pushUrgentDigests()
{
    if (parts_.upstreams.hasUrgentDigests())
        pushToPeers();
}

void PeerService::pushToPeers()
{
    for (const core::VmId &peer : parts_.spread.pushTargets())
        callQueue_.add([this, peer] { exchangeWith(peer); });
}

/** Sends this VM's message to a peer and applies the answer. */
void PeerService::exchangeWith(const core::VmId &peer)
{
    const auto endpoint = parts_.directory.endpointOf(peer);
    if (!endpoint)
        return;
    const core::MonoTime sentAt = core::MonoClock::now();
    try {
        const nlohmann::json answer = parts_.transport.call(
            *endpoint, "peer.exchange", toJson(makeMessage(peer)), options_.timeout);
        applyMessage(peerMessageFromJson(answer), sentAt);
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
    const PeerMessage message = peerMessageFromJson(params);
    applyMessage(message, core::MonoClock::now());
    return toJson(makeMessage(message.membership.sender.vm));
}

/**
 * Applies the message of a peer, received in a call or in an answer.
 * @param sentAt Time from which the message's store age is counted: when our call was sent, or
 *     when the peer's call arrived.
 */
void PeerService::applyMessage(const PeerMessage &message, core::MonoTime sentAt)
{
    const member::MemberEntry &sender = message.membership.sender;
    const core::Revision own = parts_.config.activeHead().revision;
    std::vector<core::VmId> ahead;
    {
        const std::lock_guard lock(mutex_);
        memberTable_.receive(message.membership, core::MonoClock::now());
        ahead = memberTable_.vmsWithHigherRevision(own);
    }
    parts_.shared.noteUpdate(core::MonoClock::now());
    if (message.membership.storeAge)
        parts_.spread.notePeerContact(sentAt - *message.membership.storeAge, sender.revision, own);
    for (const upstream::EvidenceDigest &digest : message.digests)
        parts_.upstreams.receiveDigest(digest);
    if (!ahead.empty())
        parts_.config.scheduleFetch(ahead.front());
    const auto placement = parts_.limits.placement();
    if (message.placementRevision > (placement ? placement->revision : core::Revision(0)))
        callQueue_.add([this, peer = sender.vm] { fetchPlacement(peer); });
}

/** Fetches and applies the placement of a peer that reported a higher placement revision. */
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
    memberTable_.setVmList(list.entryVms);
    peerIds_.clear();
    for (const core::EntryVm &vm : list.entryVms) {
        if (vm.id != options_.self)
            peerIds_.push_back(vm.id);
    }
}

std::map<core::VmId, member::MemberView> PeerService::members() const
{
    const std::lock_guard lock(mutex_);
    std::map<core::VmId, member::MemberView> members;
    for (const core::VmId &vm : peerIds_)
        members[vm] = memberTable_.viewOf(vm);
    return members;
}

/** @return This VM's message for a peer. */
PeerMessage PeerService::makeMessage(const core::VmId &receiver)
{
    const auto placement = parts_.limits.placement();
    const auto storeAge = parts_.spread.storeAge(core::MonoClock::now());
    PeerMessage message {.membership = {},
                         .placementRevision = placement ? placement->revision : core::Revision(0),
                         .digests = parts_.upstreams.takeDigests(maxDigestsPerMessage)};
    const std::lock_guard lock(mutex_);
    memberTable_.setOwnState(parts_.lifecycle.phase() == core::Phase::Serving
                                 ? core::VmState::Live
                                 : core::VmState::Leaving,
                             parts_.config.activeHead().revision);
    message.membership = memberTable_.makeMessage(receiver);
    if (storeAge)
        message.membership.storeAge = std::chrono::duration_cast<core::Millis>(*storeAge);
    return message;
}

} // namespace teaselreach::daemon
