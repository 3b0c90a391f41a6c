/** @file service_state_base.h Ejection, selection, retries and drain for one service. */
#pragma once

#include "record/record_type.h"
#include "upstream/chooser_base.h"
#include "upstream/health_table_base.h"
#include "upstream/retry_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::upstream {

/** Identity of this VM and the record of the service. */
struct ServiceOptions
{
    record::Service service;
    core::VmId ownVm;
    core::Location ownLocation;
    core::Incarnation incarnation;
    bool exchangeEvidence = true; ///< Off only in the baseline "local detection only".
    std::size_t maxSubset = 0;    ///< Upper bound on the size of this VM's subset; 0 for no bound.
};

/** Input of choose(): a request that needs an upstream. */
struct ChoiceRequest
{
    bool idempotent = false;
    bool firstAttempt = true;              ///< False for retries.
    std::vector<core::UpstreamId> exclude; ///< Upstreams already tried for the request.
};

/** Input of chooseHedge(): a request whose first attempt is in flight. */
struct HedgeRequest
{
    core::UpstreamId first;    ///< Upstream of the first attempt.
    core::Micros timeLeft {0}; ///< Until the deadline.
};

/** Why a request gets no hedge. */
enum class HedgeRefusal : std::uint8_t {
    NeedsResult, ///< Hedges have cancelled all of the upstream's latest attempts.
    DeadlineTooClose,
    NoUpstream, ///< No other upstream is usable.
    BudgetExhausted,
};

/** Hedges that may cancel attempts at an upstream in a row. The next attempt runs to its end:
 * hedges would otherwise hide an upstream that answers nothing, since a cancelled attempt is no
 * evidence. */
inline constexpr int maxSupersededInRow = 3;

/** The upstream selected for an attempt. */
struct Choice
{
    core::UpstreamId upstream;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    bool trial = false; ///< The upstream is ejected and the attempt counts towards its readmission.
};

/** Result of chooseHedge(): exactly one of the members is set. */
struct HedgeChoice
{
    std::optional<Choice> choice;
    std::optional<HedgeRefusal> refusal;
};

/**
 * Ejection, selection, retries and drain of the upstreams of one service. Not thread-safe: the
 * daemon guards each ServiceState with a lock of its own.
 */
class ServiceState
{
public:
    /** @param options Identity and record. */
    explicit ServiceState(ServiceOptions options);

    /** Applies a changed service record. */
    void configure(core::MonoTime now, const record::Service &service);
    /** Applies a new VM list. */
    void applyVmList(core::MonoTime now, const core::VmList &list);
    /**
     * Selects an upstream; nothing if none is usable. The caller must hold the lock until it has
     * called startAttempt().
     */
    std::optional<Choice> choose(core::MonoTime now, const ChoiceRequest &request, Random &random);
    /**
     * Selects another upstream for a hedge and takes a token from the retry budget. Never a trial.
     * As with choose(), the caller must hold the lock until it has called startAttempt().
     */
    HedgeChoice chooseHedge(core::MonoTime now, const HedgeRequest &request, Random &random);
    /** Records that the attempt is about to be sent. @return The id for finishAttempt(). */
    AttemptId startAttempt(core::MonoTime now, const Choice &choice);
    /** Records the end of an attempt. */
    void finishAttempt(core::MonoTime now, const AttemptId &attemptId,
                       const Completion &completion);
    /** Records a response to GET /load. */
    void recordLoad(core::MonoTime now, const core::UpstreamId &id, const LoadReport &load);
    /** Counts overdue attempts and decides ejections and readmissions. Call every tickInterval. */
    void tick(core::MonoTime now) { health_.tick(now); }
    /**
     * Returns the digests for one message to one peer, most urgent first, and counts them as sent.
     * @param limit Upper bound on the number of digests.
     */
    std::vector<EvidenceDigest> takeDigestsToSend(core::MonoTime now, std::size_t limit)
    {
        return health_.takeDigestsToSend(now, limit);
    }
    /** @return Whether there are digests to push to peers without waiting for the next exchange.
     */
    bool hasUrgentDigests() const { return health_.hasUrgentDigests(); }
    /** Applies a digest that a peer created or relayed. */
    void applyDigest(core::MonoTime now, const EvidenceDigest &digest)
    {
        health_.applyDigest(now, digest);
    }
    /** Decides whether to retry; RetryDecision::Retry takes a token from the budget. */
    RetryDecision decideRetry(core::MonoTime now, RetryRequest request);
    /** @return The changes since the last call, for the log; clears them. */
    std::vector<HealthEvent> takeEvents() { return health_.takeEvents(); }

    /** @return The state of an upstream and the evidence behind it; nothing if it is unknown. */
    std::optional<Explanation> explain(core::MonoTime now, const core::UpstreamId &id) const
    {
        return health_.explain(now, id);
    }
    /** @return The explanations of all upstreams. */
    std::vector<Explanation> explainAll(core::MonoTime now) const;
    /** @return Connections that this VM may keep to each upstream. */
    int connectionsPerUpstream() const { return chooser_.connectionsPerUpstream(); }
    /** @return The health table, for queries. */
    const HealthTable &health() const { return health_; }
    /** @return The load balancer, for queries. */
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
    /** Attempts that hedges have cancelled since the latest other result, by upstream. */
    std::map<core::UpstreamId, int> supersededInRow_;
};

} // namespace teaselreach::upstream
