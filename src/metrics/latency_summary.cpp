/** @file latency_summary.cpp Running statistics of durations, with Boost.Accumulators. */
#include "metrics/latency_summary_base.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>

namespace teaselreach::metrics {

namespace accumulators = boost::accumulators;

/** Hides Boost.Accumulators from the header. */
struct LatencySummary::Statistics
{
    using Set = accumulators::accumulator_set<
        double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                            accumulators::tag::max, accumulators::tag::extended_p_square>>;

    Set set {accumulators::extended_p_square_probabilities = summaryQuantiles};
};

namespace {

/**
 * The extended P-square estimator keeps 2 * quantiles + 3 markers. Its estimates are meaningless
 * until every marker is set, which takes one sample each.
 */
constexpr std::uint64_t minSamplesForEstimate = 2 * summaryQuantiles.size() + 3;

} // namespace

LatencySummary::LatencySummary()
    : statistics_(std::make_unique<Statistics>())
{ }
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;
LatencySummary &LatencySummary::operator=(LatencySummary &&) noexcept = default;

void LatencySummary::add(core::Micros duration)
{
    statistics_->set(std::chrono::duration<double>(duration).count());
}

std::uint64_t LatencySummary::count() const
{
    return accumulators::count(statistics_->set);
}

double LatencySummary::sumSeconds() const
{
    return accumulators::sum(statistics_->set);
}

double LatencySummary::quantileSeconds(std::size_t index) const
{
    if (count() == 0)
        return 0;
    const double largest = accumulators::max(statistics_->set);
    if (count() < minSamplesForEstimate)
        return largest;
    const double estimate =
        accumulators::extended_p_square(statistics_->set)[static_cast<std::ptrdiff_t>(index)];
    return std::min(estimate, largest);
}

} // namespace teaselreach::metrics
