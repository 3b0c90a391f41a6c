/** @file chooser_base.h Load balancing: selects an upstream for a request. */
#pragma once

#include "core/vm_type.h"
#include "upstream/subset_func.h"
#include "upstream/upstream_type.h"

#include <array>
#include <concepts>
#include <optional>
#include <span>
#include <vector>

namespace teaselreach::upstream {

/** An upstream that may be selected for a request. */
struct Candidate
{
    std::size_t index = 0; ///< Index in the HealthTable.
    double load = 0;       ///< Expected number of requests in progress at the upstream.
};

/** Load-balancing policy: picks one of the candidates, of which there is at least one. */
template <typename T>
concept ChoiceStrategy = requires(T &strategy, std::span<const Candidate> candidates,
                                  Random &random)
{
    {
        strategy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

/** Picks every candidate with the same probability. Baseline for comparison. */
struct RandomChoice
{
    /** @return The position of the pick. */
    std::size_t pick(std::span<const Candidate> candidates, Random &random);
};

/** Round robin over the candidates. Baseline for comparison. */
struct RoundRobinChoice
{
    /** @return The position of the pick. */
    std::size_t pick(std::span<const Candidate> candidates, Random &random);

    std::size_t next = 0;
};

/** Power of two choices: picks the less loaded of two random candidates. */
struct PowerOfTwoChoices
{
    /** @return The position of the pick. */
    std::size_t pick(std::span<const Candidate> candidates, Random &random);
};

static_assert(
    ChoiceStrategy<
        RandomChoice> && ChoiceStrategy<RoundRobinChoice> && ChoiceStrategy<PowerOfTwoChoices>);

/**
 * Estimates the load of upstreams from their load reports and this VM's own requests in flight. As
 * a report ages, its weight shifts to the mean of all reports.
 */
class LoadTable
{
public:
    /** Sets the number of upstreams and discards their reports; the mean of all reports is kept. */
    void reset(std::size_t size);
    /**
     * Records a report.
     * @param ownInFlight Attempts in progress of this VM, which the report includes.
     */
    void record(core::MonoTime now, std::size_t index, const LoadReport &load, int ownInFlight);
    /** @return The expected number of requests in progress at an upstream. */
    double expectedLoad(core::MonoTime now, std::size_t index, int ownInFlight) const;

private:
    struct Entry
    {
        double others = 0; ///< Requests in progress of other VMs.
        core::MonoTime at {};
    };

    std::vector<Entry> entries_;
    double meanOthers_ = 0;
};

/** The state of one upstream that the selection depends on. */
struct UpstreamView
{
    bool usable = false;
    int inFlight = 0;
    core::MonoTime usedSince {}; ///< For the slow start; epoch if in use since this VM started.
};

/**
 * Selects an upstream within the subset of this VM: own zone first, then own region, then the rest.
 * Other upstreams are used only if none of the subset is usable.
 */
class Chooser
{
public:
    /**
     * Applies a new VM list. The views passed to choose() must have the order of request.upstreams.
     */
    void setUpstreams(const SubsetRequest &request);
    /** Records a load report. */
    void recordLoad(core::MonoTime now, std::size_t index, const LoadReport &load, int ownInFlight);
    /**
     * @param views All upstreams, in the order given to setUpstreams().
     * @param strategy Policy that picks among the candidates of one tier.
     * @return The index of the selected upstream; nothing if no upstream is usable.
     */
    template <ChoiceStrategy Strategy>
    std::optional<std::size_t> choose(core::MonoTime now, std::span<const UpstreamView> views,
                                      Strategy &strategy, Random &random) const
    {
        const std::vector<Candidate> candidates = collectCandidates(now, views, random);
        if (candidates.empty())
            return std::nullopt;
        return candidates[strategy.pick(candidates, random)].index;
    }

    /** @return Connections that this VM may keep to each upstream. */
    int connectionsPerUpstream() const { return plan_.connectionsPerUpstream; }
    /** @return The upstreams that this VM keeps connections to, and how many to each. */
    const ConnectionPlan &plan() const { return plan_; }

private:
    /** Locality of one upstream relative to this VM. */
    struct Locality
    {
        std::size_t tier = 0;  ///< 0 own zone, 1 own region, 2 elsewhere.
        bool inSubset = false; ///< Whether the upstream belongs to this VM's subset.
    };

    std::vector<Candidate> collectCandidates(core::MonoTime now,
                                             std::span<const UpstreamView> views,
                                             Random &random) const;
    std::size_t drawTier(core::MonoTime now, std::span<const UpstreamView> views,
                         Random &random) const;
    std::vector<Candidate> candidatesInTier(core::MonoTime now, std::span<const UpstreamView> views,
                                            std::size_t tier, bool subsetOnly,
                                            Random &random) const;

    ConnectionPlan plan_;
    std::vector<Locality> localities_;
    std::array<double, 2> entryShare_ {}; ///< Share of the entry VMs in the own zone, own region.
    LoadTable loads_;
};

} // namespace teaselreach::upstream
