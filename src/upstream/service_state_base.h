/** @file service_state_base.h All decisions about the upstreams of one service on one VM. */
#pragma once

#include "record/record_type.h"
#include "upstream/chooser_base.h"
#include "upstream/health_table_base.h"
#include "upstream/retry_base.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselreach::upstream {

/** The identity of this VM and the service's record. */
struct ServiceOptions
{
    record::Service service;
    core::VmId ownVm;
    core::Location ownLocation;
    core::Incarnation incarnation;
    bool exchangeEvidence = true; ///< Off only in the baseline "local detection only".
    std::size_t maxSubset = 0;    ///< Most upstreams that this VM uses; 0 for no bound.
};

/** A request that needs an upstream. */
struct ChoiceRequest
{
    bool idempotent = false;
    bool firstAttempt = true;              ///< False for retries.
    std::vector<core::UpstreamId> exclude; ///< Upstreams already tried for the request.
};

/** The upstream for an attempt. */
struct Choice
{
    core::UpstreamId upstream;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    bool trial = false; ///< The upstream is ejected and this request decides on its readmission.
};

/**
 * Ejection, choice, retries and drain of one service. Not thread-safe: the daemon holds one lock
 * for each ServiceState around every call.
 */
class ServiceState
{
public:
    /** @param options Identity and record. */
    explicit ServiceState(ServiceOptions options);

    /** Takes in a changed service record. */
    void configure(core::MonoTime now, const record::Service &service);
    /** Takes in a VM list. */
    void applyVmList(core::MonoTime now, const core::VmList &list);
    /** Chooses an upstream; nothing if none may be used. Call startAttempt() under the same lock.
     */
    std::optional<Choice> choose(core::MonoTime now, const ChoiceRequest &request, Random &random);
    /** Records that the attempt is about to be sent. @return The id for finishAttempt(). */
    AttemptId startAttempt(core::MonoTime now, const Choice &choice);
    /** Records the end of an attempt. */
    void finishAttempt(core::MonoTime now, const AttemptId &attemptId,
                       const Completion &completion);
    /** Records what GET /load returned. */
    void recordLoad(core::MonoTime now, const core::UpstreamId &id, const LoadReport &load);
    /** Counts overdue attempts, ejects and readmits; call every tickInterval. */
    void tick(core::MonoTime now) { health_.tick(now); }
    /**
     * The digests for one message to one peer, most urgent first.
     * @param limit Most digests to return.
     */
    std::vector<EvidenceDigest> takeDigestsToSend(core::MonoTime now, std::size_t limit)
    {
        return health_.takeDigestsToSend(now, limit);
    }
    /** @return Whether digests wait that should be pushed to peers now, not at the next exchange.
     */
    bool hasUrgentDigests() const { return health_.hasUrgentDigests(); }
    /** Takes in a digest of another VM, made or relayed by the sender. */
    void applyDigest(core::MonoTime now, const EvidenceDigest &digest)
    {
        health_.applyDigest(now, digest);
    }
    /** Decides whether a failed attempt is retried; a granted retry uses up budget. */
    RetryDecision decideRetry(core::MonoTime now, RetryRequest request);
    /** @return The changes since the last call, for the log. */
    std::vector<HealthEvent> takeEvents() { return health_.takeEvents(); }

    /** @return Why an upstream is or is not in use; nothing if it is unknown. */
    std::optional<Explanation> explain(core::MonoTime now, const core::UpstreamId &id) const
    {
        return health_.explain(now, id);
    }
    /** @return The explanations of all upstreams. */
    std::vector<Explanation> explainAll(core::MonoTime now) const;
    /** @return Connections that this VM may keep to each upstream. */
    int connectionsPerUpstream() const { return chooser_.connectionsPerUpstream(); }
    /** @return The ejection part, for queries. */
    const HealthTable &health() const { return health_; }
    /** @return The choice part, for queries. */
    const Chooser &chooser() const { return chooser_; }

private:
    std::optional<std::size_t> upstreamToTest(core::MonoTime now,
                                              const std::vector<UpstreamView> &views);
    std::vector<UpstreamView> viewsFor(const ChoiceRequest &request) const;
    Choice makeChoice(std::size_t index) const;
    void updateChooser();

    ServiceOptions options_;
    core::VmList list_; ///< Only this service's upstreams.
    HealthTable health_;
    Chooser chooser_;
    PowerOfTwoChoices strategy_;
    RetryBudget budget_;
};

} // namespace teaselreach::upstream
