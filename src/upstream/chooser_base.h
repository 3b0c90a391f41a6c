/** @file chooser_base.h The choice of an upstream for a request. */
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

/** An upstream that a request may go to. */
struct Candidate
{
    std::size_t index = 0; ///< In the HealthTable.
    double load = 0;       ///< Expected requests in progress at the upstream.
};

/** Picks one of at least one candidate. */
template <typename T>
concept ChoiceStrategy = requires(T &strategy, std::span<const Candidate> candidates,
                                  Random &random)
{
    {
        strategy.pick(candidates, random)
        } -> std::same_as<std::size_t>;
};

/** Baseline: any candidate with the same probability. */
struct RandomChoice
{
    /** @return The position of the pick. */
    std::size_t pick(std::span<const Candidate> candidates, Random &random);
};

/** Baseline: the candidates in turn. */
struct RoundRobinChoice
{
    /** @return The position of the pick. */
    std::size_t pick(std::span<const Candidate> candidates, Random &random);

    std::size_t next = 0;
};

/** The less loaded of two random candidates. */
struct PowerOfTwoChoices
{
    /** @return The position of the pick. */
    std::size_t pick(std::span<const Candidate> candidates, Random &random);
};

static_assert(
    ChoiceStrategy<
        RandomChoice> && ChoiceStrategy<RoundRobinChoice> && ChoiceStrategy<PowerOfTwoChoices>);

/**
 * The load that upstreams reported, combined with this VM's own requests in flight. A report loses
 * weight with its age in favour of the mean of all reports.
 */
class LoadTable
{
public:
    /** Sets the number of upstreams and forgets all reports. */
    void reset(std::size_t size);
    /**
     * Records a report.
     * @param ownInFlight Attempts of this VM that the report includes.
     */
    void record(core::MonoTime now, std::size_t index, const LoadReport &load, int ownInFlight);
    /** @return Expected requests in progress at an upstream. */
    double expectedLoad(core::MonoTime now, std::size_t index, int ownInFlight) const;

private:
    struct Entry
    {
        double others = 0; ///< Requests of other VMs.
        core::MonoTime at {};
    };

    std::vector<Entry> entries_;
    double meanOthers_ = 0;
};

/** The state of one upstream that a choice depends on. */
struct UpstreamView
{
    bool usable = false;
    int inFlight = 0;
    core::MonoTime usedSince {}; ///< Epoch if in use since the start.
};

/** Chooses an upstream: zone first, then region, within the subset of this VM. */
class Chooser
{
public:
    /** Takes in a VM list; views passed to choose() have the order of request.upstreams. */
    void setUpstreams(const SubsetRequest &request);
    /** Records a load report. */
    void recordLoad(core::MonoTime now, std::size_t index, const LoadReport &load, int ownInFlight);
    /**
     * @param views All upstreams, in the order of the list.
     * @param strategy Picks among equally near upstreams.
     * @return The index of the choice; nothing if no upstream is usable.
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
    /** @return Upstreams that this VM keeps connections to. */
    const ConnectionPlan &plan() const { return plan_; }

private:
    /** What the choice knows of the position of one upstream. */
    struct Locality
    {
        std::size_t tier = 0;  ///< 0 own zone, 1 own region, 2 elsewhere.
        bool inSubset = false; ///< Of this VM's subset.
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
    std::array<double, 2> entryShare_ {}; ///< Share of the entry VMs in the own zone, region.
    LoadTable loads_;
};

} // namespace teaselreach::upstream
