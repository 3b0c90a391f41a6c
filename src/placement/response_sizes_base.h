/** @file response_sizes_base.h Predicts the size of a route's responses. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace teaselreach::proxy {

/** Parameters of ResponseSizes. */
struct ResponseSizesOptions
{
    /** Number of the latest responses of a route that count, and the time for which they do. */
    std::size_t maxSamples = 16;
    core::Micros maxAge {core::Seconds(60)};
    /** Part of the responses that are not larger than the prediction. A single large one among
     * many small ones must not reserve its size for all of them. */
    double quantile = 0.9;
    /** Smaller responses are not predicted: a part of the memory is kept for them. */
    std::size_t minBytes = std::size_t {64} * 1024;
};

/** The sizes of the latest responses of each route. Uses no threads, sockets or clocks. */
class ResponseSizes
{
public:
    /** @param options Parameters. */
    explicit ResponseSizes(const ResponseSizesOptions &options = {})
        : options_(options)
    { }

    /** Records the size of a response's body. */
    void responded(core::MonoTime now, const core::RouteId &route, std::size_t bodyBytes);
    /** @return Bytes that the next response's body probably needs; 0 if it is unknown or small. */
    std::size_t expected(core::MonoTime now, const core::RouteId &route) const;

private:
    /** The body of one response. */
    struct Sample
    {
        core::MonoTime at {};
        std::size_t bytes = 0;
    };

    ResponseSizesOptions options_;
    std::unordered_map<core::RouteId, std::deque<Sample>, core::StrongHash> samples_;
};

} // namespace teaselreach::proxy
