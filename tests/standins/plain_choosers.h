/** @file plain_choosers.h Plain strategies of placement, as baselines for the product's. */
#pragma once

#include "placement/upstream_table_base.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace teaselreach::standins {

/** What plain strategies know of an upstream. */
struct PlainUpstream
{
    proxy::UpstreamEntry entry;
    int own = 0;      ///< Attempts of this VM under way.
    int reported = 0; ///< Running and waiting requests, as the upstream last said.
};

/** Takes the upstreams in turn. */
struct RoundRobin
{
    std::size_t operator()(const std::vector<const PlainUpstream *> &candidates, std::mt19937_64 &)
    {
        return next++ % candidates.size();
    }
    std::size_t next = 0;
};

/** Takes the upstream with the least load as last reported, or with the fewest own attempts. */
struct LeastLoaded
{
    static int loadOf(const PlainUpstream &upstream)
    {
        return std::max(upstream.own, upstream.reported);
    }
    std::size_t operator()(const std::vector<const PlainUpstream *> &candidates,
                           std::mt19937_64 &random)
    {
        std::size_t best = random() % candidates.size();
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (loadOf(*candidates[i]) < loadOf(*candidates[best]))
                best = i;
        }
        return best;
    }
};

/** Takes the less loaded of two upstreams drawn by chance. */
struct TwoChoices
{
    std::size_t operator()(const std::vector<const PlainUpstream *> &candidates,
                           std::mt19937_64 &random)
    {
        const std::size_t first = random() % candidates.size();
        const std::size_t second = random() % candidates.size();
        return LeastLoaded::loadOf(*candidates[first]) <= LeastLoaded::loadOf(*candidates[second])
            ? first
            : second;
    }
};

/**
 * A chooser that uses upstreams of the VM's zone and picks one by a strategy. It knows nothing of
 * failures, limits of occupancy or deadlines.
 */
template <typename Strategy>
class PlainChooser
{
public:
    PlainChooser(const proxy::UpstreamTableOptions &options, std::uint64_t seed)
        : zone_(options.self.availabilityZone)
        , random_(seed)
    { }

    void update(core::MonoTime, const proxy::UpstreamEntry &entry)
    {
        upstreams_[entry.id].entry = entry;
    }

    proxy::PlacementResult choose(core::MonoTime, const proxy::PlacementRequest &request)
    {
        std::vector<const PlainUpstream *> near;
        std::vector<const PlainUpstream *> all;
        for (const auto &[id, upstream] : upstreams_) {
            if (upstream.entry.service != request.service
                || std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end())
                continue;
            all.push_back(&upstream);
            if (upstream.entry.availabilityZone == zone_)
                near.push_back(&upstream);
        }
        const auto &candidates = near.empty() ? all : near;
        if (candidates.empty())
            return {};
        const PlainUpstream &chosen = *candidates[strategy_(candidates, random_)];
        return {.placement = proxy::Placement {.upstream = chosen.entry.id,
                                               .address = chosen.entry.address,
                                               .port = chosen.entry.port,
                                               .expectedDuration = request.targetLatency / 3}};
    }

    void attemptStarted(core::MonoTime, proxy::Placement &placement)
    {
        placement.attempt = ++lastAttempt_;
        ++upstreams_[placement.upstream].own;
    }

    void attemptFinished(const proxy::AttemptRecord &record)
    {
        PlainUpstream &upstream = upstreams_[record.upstream];
        --upstream.own;
        if (record.status.load)
            upstream.reported = record.status.load->running + record.status.load->waiting;
    }

    core::Micros expectedProcessingTime(const core::RouteId &, core::Micros targetLatency) const
    {
        return targetLatency / 3;
    }

    double slotsOf(const core::ServiceId &service, core::Micros, const proxy::RegionSet &) const
    {
        double slots = 0;
        for (const auto &[id, upstream] : upstreams_)
            slots += upstream.entry.service == service ? upstream.entry.slots : 0;
        return slots;
    }

private:
    core::AvailabilityZoneId zone_;
    std::mt19937_64 random_;
    Strategy strategy_;
    std::map<core::UpstreamId, PlainUpstream> upstreams_;
    std::uint64_t lastAttempt_ = 0;
};

} // namespace teaselreach::standins
