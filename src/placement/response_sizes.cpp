/** @file response_sizes.cpp Predicts the size of a route's responses. */
#include "placement/response_sizes_base.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace teaselreach::proxy {

void ResponseSizes::responded(core::MonoTime now, const core::RouteId &route, std::size_t bodyBytes)
{
    std::deque<Sample> &samples = samples_[route];
    samples.push_back({.at = now, .bytes = bodyBytes});
    while (samples.size() > options_.maxSamples)
        samples.pop_front();
}

std::size_t ResponseSizes::expected(core::MonoTime now, const core::RouteId &route) const
{
    const auto found = samples_.find(route);
    if (found == samples_.end())
        return 0;
    std::vector<std::size_t> sizes;
    for (const Sample &sample : found->second) {
        if (now - sample.at <= options_.maxAge)
            sizes.push_back(sample.bytes);
    }
    if (sizes.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(options_.quantile * static_cast<double>(sizes.size())));
    const auto at = sizes.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, rank) - 1);
    std::nth_element(sizes.begin(), at, sizes.end());
    return *at > options_.minBytes ? *at : 0;
}

} // namespace teaselreach::proxy
