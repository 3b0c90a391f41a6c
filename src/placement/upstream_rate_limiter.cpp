/** @file upstream_rate_limiter.cpp Keeps to the request rates that upstreams name. */
#include "core/log_func.h"
#include "placement/upstream_rate_limiter_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

namespace {

double seconds(core::Micros time)
{
    return std::chrono::duration<double>(time).count();
}

/** @return A rate in requests per 1,000 seconds for logs; -1 without one. */
std::int64_t toMilli(const std::optional<RequestRate> &rate)
{
    constexpr double milli = 1000;
    return rate ? std::llround(rate->perSecond * milli) : -1;
}

/** Largest number of requests that one report of another VM counts. */
constexpr int maxReportedRequests = 1000;

} // namespace

UpstreamRateLimiter::UpstreamRateLimiter(UpstreamRateLimiterOptions options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{ }

double UpstreamRateLimiter::rateOf(const Limited &limited) const
{
    return std::max(options_.minPerSecond, limited.limit->perSecond);
}

double UpstreamRateLimiter::maxTokens(const Limited &limited, const UpstreamLimitShare &share) const
{
    return 1 + rateOf(limited) * share.own * seconds(options_.maxSavings);
}

double UpstreamRateLimiter::tokensAt(core::MonoTime now, const Limited &limited,
                                     const UpstreamLimitShare &share) const
{
    const double saved = rateOf(limited) * share.own * seconds(now - limited.countedAt);
    return std::min(maxTokens(limited, share), limited.tokens + saved);
}

/** @return Number of requests in the window that ends now. */
double UpstreamRateLimiter::usedIn(core::MonoTime now,
                                   const std::deque<core::MonoTime> &times) const
{
    const auto first = std::upper_bound(times.begin(), times.end(), now - options_.window);
    return static_cast<double>(times.end() - first);
}

void UpstreamRateLimiter::settle(core::MonoTime now, Limited &limited,
                                 const UpstreamLimitShare &share) const
{
    if (limited.limit)
        limited.tokens = tokensAt(now, limited, share);
    limited.countedAt = now;
    for (std::deque<core::MonoTime> *times : {&limited.own, &limited.others}) {
        while (!times->empty() && times->front() <= now - options_.window)
            times->pop_front();
    }
}

void UpstreamRateLimiter::responded(core::MonoTime now, const core::UpstreamId &id,
                                    std::optional<RequestRate> limit, bool isComplete,
                                    const UpstreamLimitShare &share)
{
    if (limit || (isComplete && limited_.contains(id)))
        apply(now, now, id, limit, share);
}

void UpstreamRateLimiter::apply(core::MonoTime now, core::MonoTime namedAt,
                                const core::UpstreamId &id, std::optional<RequestRate> limit,
                                const UpstreamLimitShare &share)
{
    const auto [found, isNew] = limited_.try_emplace(id);
    Limited &limited = found->second;
    if (isNew) {
        limited.limitedSince = now;
        std::uniform_int_distribution<core::Micros::rep> staleAfter(options_.minStaleAfter.count(),
                                                                    options_.maxStaleAfter.count());
        limited.staleAfter = core::Micros(staleAfter(random_));
        limited.countedAt = now;
    }
    settle(now, limited, share);
    limited.namedAt = namedAt;
    if (limit == limited.limit)
        return;
    core::logEvent(core::LogLevel::Info, limit ? "upstream_limit_named" : "upstream_limit_ended",
                   {{"upstream", id.str()},
                    {"milli_per_s", toMilli(limit)},
                    {"milli_per_s_before", toMilli(limited.limit)},
                    {"own_pct", std::llround(100 * share.own)},
                    {"pool_pct", std::llround(100 * share.pool)},
                    {"age_ms", std::chrono::duration_cast<core::Millis>(now - namedAt).count()}});
    limited.limit = limit;
    limited.isChanged = true;
    if (limit)
        limited.tokens = std::min(limited.tokens, maxTokens(limited, share));
}

bool UpstreamRateLimiter::mayStart(core::MonoTime now, const core::UpstreamId &id,
                                   const UpstreamLimitShare &share) const
{
    const auto found = limited_.find(id);
    if (found == limited_.end() || !found->second.limit)
        return true;
    const Limited &limited = found->second;
    if (now - limited.namedAt > limited.staleAfter && usedIn(now, limited.own) == 0)
        return true;
    const bool isPooled = share.poolSize > 1;
    const double used = usedIn(now, limited.own) + (isPooled ? usedIn(now, limited.others) : 0);
    const double poolLimit = share.pool * rateOf(limited) * seconds(options_.window);
    if (tokensAt(now, limited, share) >= 1
        && used + 1 <= std::max(1.0, options_.maxPoolUse * poolLimit))
        return true;
    // Each of the others may be sending a request that it has not reported yet.
    return isPooled && now - limited.limitedSince >= options_.window
        && used + 1 <= poolLimit - (share.poolSize - 1);
}

void UpstreamRateLimiter::started(core::MonoTime now, const core::UpstreamId &id,
                                  const UpstreamLimitShare &share)
{
    const auto found = limited_.find(id);
    if (found == limited_.end())
        return;
    Limited &limited = found->second;
    settle(now, limited, share);
    limited.tokens = std::max(0.0, limited.tokens - 1);
    limited.own.push_back(now);
    ++limited.unreported;
}

void UpstreamRateLimiter::reported(core::MonoTime now, const UpstreamLimitReport &report,
                                   const UpstreamLimitShare &share)
{
    const core::MonoTime namedAt = now - report.age;
    const auto found = limited_.find(report.upstream);
    const bool isKnown = found != limited_.end();
    if ((report.limit && !isKnown) || (isKnown && namedAt > found->second.namedAt)) {
        apply(now, namedAt, report.upstream, report.limit, share);
        limited_[report.upstream].isChanged = false; // The reporting VM has told the others.
    }
    const auto limited = limited_.find(report.upstream);
    if (limited == limited_.end())
        return;
    for (int i = 0; i < std::min(report.requests, maxReportedRequests); ++i)
        limited->second.others.push_back(now);
}

std::vector<UpstreamLimitReport> UpstreamRateLimiter::takeReports(core::MonoTime now,
                                                                  std::size_t maxReports)
{
    removeExpired(now);
    std::vector<UpstreamLimitReport> reports;
    for (auto &[id, limited] : limited_) {
        if (reports.size() >= maxReports)
            break;
        // Only VMs that still get responses of the upstream repeat its limit.
        const bool isDue = limited.limit && now - limited.reportedAt >= options_.reportInterval
            && now - limited.namedAt < options_.reportInterval;
        if (limited.unreported == 0 && !limited.isChanged && !isDue)
            continue;
        reports.push_back({.upstream = id,
                           .limit = limited.limit,
                           .age = now - limited.namedAt,
                           .requests = std::exchange(limited.unreported, 0),
                           .announcesLimit = std::exchange(limited.isChanged, false) || isDue});
        limited.reportedAt = now;
    }
    return reports;
}

/** Forgets upstreams that have not named a limit for the length of the window. */
void UpstreamRateLimiter::removeExpired(core::MonoTime now)
{
    std::erase_if(limited_, [&](const auto &entry) {
        return !entry.second.limit && !entry.second.isChanged
            && now - entry.second.namedAt > options_.window;
    });
}

std::optional<RequestRate> UpstreamRateLimiter::limitOf(const core::UpstreamId &id) const
{
    const auto found = limited_.find(id);
    return found == limited_.end() ? std::nullopt : found->second.limit;
}

std::size_t UpstreamRateLimiter::size() const
{
    return static_cast<std::size_t>(
        std::count_if(limited_.begin(), limited_.end(),
                      [](const auto &entry) { return entry.second.limit.has_value(); }));
}

} // namespace teaselreach::proxy
