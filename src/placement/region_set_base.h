/** @file region_set_base.h Sets of regions in which requests may be served. */
#pragma once

#include "core/id_type.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace teaselreach::proxy {

/**
 * Regions in which a request may be served: any, or the listed ones. Immutable; copies share the
 * list, because every request carries a set.
 */
class RegionSet
{
public:
    /** Creates the set that allows any region. */
    RegionSet() = default;

    /** @return The set of the given regions; without regions it allows none. */
    static RegionSet of(std::vector<core::RegionId> regions);

    /** @return Whether any region is allowed. */
    bool isAny() const { return regions_ == nullptr; }
    /** @return Whether no region is allowed. */
    bool isNone() const { return regions_ != nullptr && regions_->empty(); }
    /** @return Whether a region is allowed. */
    bool allows(const core::RegionId &region) const;
    /** @return The set of the regions that both sets allow. */
    RegionSet intersect(const RegionSet &other) const;
    /** @return The listed regions in ascending order; empty if any region is allowed. */
    const std::vector<core::RegionId> &regions() const;
    /** @return The regions for logs, separated by commas; "any" or "none" without a list. */
    std::string text() const;

    /** Orders the set that allows any region before the others. */
    std::strong_ordering operator<=>(const RegionSet &other) const;
    bool operator==(const RegionSet &other) const { return (*this <=> other) == 0; }

private:
    std::shared_ptr<const std::vector<core::RegionId>> regions_; ///< Sorted; nullptr for any.
};

/** Number of a region in a RegionIndex. */
using RegionNumber = core::StrongInt<struct RegionNumberTag, std::uint32_t>;

/** A RegionSet in the form that the selection of upstreams checks for each upstream. */
class RegionFilter
{
public:
    /** Creates the filter that allows any region. */
    RegionFilter() = default;
    /** @param allowed Whether each region is allowed, by its number; not empty. */
    explicit RegionFilter(std::vector<bool> allowed)
        : allowed_(std::move(allowed))
    { }

    /** @return Whether a region is allowed. */
    bool allows(RegionNumber region) const { return allowed_.empty() || allowed_[region.count()]; }

private:
    std::vector<bool> allowed_; ///< Empty for any region.
};

/** Numbers the regions of the settings: selection compares numbers, which is cheaper than names. */
class RegionIndex
{
public:
    /** @param regionOfZone The availability zones of the settings. */
    explicit RegionIndex(const std::map<core::AvailabilityZoneId, core::RegionId> &regionOfZone);

    /** @return The number of a zone's region. A zone that the settings lack has the number 0, which
     * only the set of any region allows. */
    RegionNumber ofZone(const core::AvailabilityZoneId &zone) const;
    /** @return Whether a zone of the settings is in a region. */
    bool contains(const core::RegionId &region) const { return numbers_.contains(region); }
    /** @return The filter of a set. */
    RegionFilter filterOf(const RegionSet &regions) const;

private:
    std::map<core::RegionId, RegionNumber> numbers_;
    std::map<core::AvailabilityZoneId, RegionNumber> ofZone_;
};

} // namespace teaselreach::proxy
