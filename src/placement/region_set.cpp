/** @file region_set.cpp Sets of regions in which requests may be served. */
#include "placement/region_set_base.h"

#include <algorithm>
#include <iterator>

namespace teaselreach::proxy {

RegionSet RegionSet::of(std::vector<core::RegionId> regions)
{
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    RegionSet set;
    set.regions_ = std::make_shared<const std::vector<core::RegionId>>(std::move(regions));
    return set;
}

bool RegionSet::allows(const core::RegionId &region) const
{
    return isAny() || std::binary_search(regions_->begin(), regions_->end(), region);
}

RegionSet RegionSet::intersect(const RegionSet &other) const
{
    if (isAny() || regions_ == other.regions_)
        return other;
    if (other.isAny())
        return *this;
    std::vector<core::RegionId> common;
    std::set_intersection(regions_->begin(), regions_->end(), other.regions_->begin(),
                          other.regions_->end(), std::back_inserter(common));
    return of(std::move(common));
}

const std::vector<core::RegionId> &RegionSet::regions() const
{
    static const std::vector<core::RegionId> unlisted;
    return isAny() ? unlisted : *regions_;
}

std::string RegionSet::text() const
{
    if (isAny())
        return "any";
    if (isNone())
        return "none";
    std::string joined;
    for (const core::RegionId &region : *regions_)
        joined += (joined.empty() ? "" : ",") + region.str();
    return joined;
}

std::strong_ordering RegionSet::operator<=>(const RegionSet &other) const
{
    if (regions_ == other.regions_)
        return std::strong_ordering::equal;
    if (isAny() || other.isAny())
        return isAny() ? std::strong_ordering::less : std::strong_ordering::greater;
    return *regions_ <=> *other.regions_;
}

RegionIndex::RegionIndex(const std::map<core::AvailabilityZoneId, core::RegionId> &regionOfZone)
{
    for (const auto &[zone, region] : regionOfZone) {
        const RegionNumber next(static_cast<std::uint32_t>(numbers_.size() + 1));
        ofZone_[zone] = numbers_.try_emplace(region, next).first->second;
    }
}

RegionNumber RegionIndex::ofZone(const core::AvailabilityZoneId &zone) const
{
    const auto found = ofZone_.find(zone);
    return found == ofZone_.end() ? RegionNumber() : found->second;
}

RegionFilter RegionIndex::filterOf(const RegionSet &regions) const
{
    if (regions.isAny())
        return {};
    std::vector<bool> allowed(numbers_.size() + 1, false);
    for (const core::RegionId &region : regions.regions()) {
        if (const auto found = numbers_.find(region); found != numbers_.end())
            allowed[found->second.count()] = true;
    }
    return RegionFilter(std::move(allowed));
}

} // namespace teaselreach::proxy
