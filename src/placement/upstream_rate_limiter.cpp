/** @file upstream_rate_limiter.cpp Request rates that upstreams name, and of cold upstreams. */
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

std::int64_t toMillis(core::Micros time)
{
    return std::chrono::duration_cast<core::Millis>(time).count();
}

/** Largest number of requests that one report of another VM counts. */
constexpr int maxReportedRequests = 1000;

/** Tolerance of comparisons with a whole number of tokens. */
constexpr double tokenTolerance = 1e-9;

} // namespace

std::string_view coldSourceName(ColdSource source)
{
    switch (source) {
    case ColdSource::Entry:
        return "entry";
    case ColdSource::Response:
        return "response";
    case ColdSource::Peer:
        return "peer";
    case ColdSource::Configuration:
        return "configuration";
    case ColdSource::Time:
        return "time";
    }
    return "unknown";
}

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

double UpstreamRateLimiter::coldTokensAt(core::MonoTime now, const Limited &limited,
                                         const UpstreamLimitShare &share) const
{
    const double perSecond = options_.coldFill * limited.cold.perSecond * share.cold;
    return std::min(share.coldSaved,
                    limited.coldTokens + perSecond * seconds(now - limited.countedAt));
}

/** @return Number of requests in the window that ends now. */
double UpstreamRateLimiter::usedIn(core::MonoTime now, core::Micros window,
                                   const std::deque<core::MonoTime> &times)
{
    const auto first = std::upper_bound(times.begin(), times.end(), now - window);
    return static_cast<double>(times.end() - first);
}

void UpstreamRateLimiter::settle(core::MonoTime now, Limited &limited,
                                 const UpstreamLimitShare &share) const
{
    if (limited.limit)
        limited.tokens = tokensAt(now, limited, share);
    if (limited.isCold)
        limited.coldTokens = coldTokensAt(now, limited, share);
    limited.countedAt = now;
    // An upstream without a cold-start limit may name its limit again: its counts stay complete.
    const core::Micros window =
        limited.limit || limited.cold.perSecond <= 0 ? options_.window : options_.coldWindow;
    for (std::deque<core::MonoTime> *times : {&limited.own, &limited.others}) {
        while (!times->empty() && times->front() <= now - window)
            times->pop_front();
    }
}

/** @return The record of an upstream; a new one if there is none. */
UpstreamRateLimiter::Limited &UpstreamRateLimiter::entryOf(core::MonoTime now,
                                                           const core::UpstreamId &id)
{
    const auto [found, isNew] = limited_.try_emplace(id);
    Limited &limited = found->second;
    if (!isNew)
        return limited;
    limited.limitedSince = now;
    std::uniform_int_distribution<core::Micros::rep> staleAfter(options_.minStaleAfter.count(),
                                                                options_.maxStaleAfter.count());
    limited.staleAfter = core::Micros(staleAfter(random_));
    limited.countedAt = now;
    return limited;
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
    Limited &limited = entryOf(now, id);
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
                    {"age_ms", toMillis(now - namedAt)}});
    // Without a limit, the requests of the cold window only are counted.
    if (!limited.limit && limited.cold.perSecond > 0)
        limited.limitedSince = now;
    limited.limit = limit;
    limited.isChanged = true;
    if (limit)
        limited.tokens = std::min(limited.tokens, maxTokens(limited, share));
}

bool UpstreamRateLimiter::mayStart(core::MonoTime now, const core::UpstreamId &id,
                                   const UpstreamLimitShare &share) const
{
    const auto found = limited_.find(id);
    return found == limited_.end()
        || (fitsNamedLimit(now, found->second, share) && fitsColdLimit(now, found->second, share));
}

/** @return Whether one more request fits the limit that the upstream names, if any. */
bool UpstreamRateLimiter::fitsNamedLimit(core::MonoTime now, const Limited &limited,
                                         const UpstreamLimitShare &share) const
{
    if (!limited.limit)
        return true;
    const double own = usedIn(now, options_.window, limited.own);
    if (now - limited.namedAt > limited.staleAfter && own == 0)
        return true;
    const bool isPooled = share.poolSize > 1;
    const double used = own + (isPooled ? usedIn(now, options_.window, limited.others) : 0);
    const double poolLimit = share.pool * rateOf(limited) * seconds(options_.window);
    if (tokensAt(now, limited, share) >= 1
        && used + 1 <= std::max(1.0, options_.maxPoolUse * poolLimit))
        return true;
    // Each of the others may be sending a request that it has not reported yet.
    return isPooled && now - limited.limitedSince >= options_.window
        && used + 1 <= poolLimit - (share.poolSize - 1);
}

/** @return Whether one more request fits the cold-start limit, if any. */
bool UpstreamRateLimiter::fitsColdLimit(core::MonoTime now, const Limited &limited,
                                        const UpstreamLimitShare &share) const
{
    if (!limited.isCold || now >= limited.cold.until)
        return true;
    const double used = usedIn(now, options_.coldWindow, limited.own)
        + usedIn(now, options_.coldWindow, limited.others);
    return coldTokensAt(now, limited, share) >= 1 - tokenTolerance
        && used + 1 <= std::max(1.0, options_.maxColdUse * limited.cold.perSecond);
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
    limited.coldTokens = std::max(0.0, limited.coldTokens - 1);
    limited.own.push_back(now);
    // Others need the requests at an upstream without any limit only once it has one.
    if (limited.limit || limited.isCold || limited.cold.perSecond <= 0)
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

void UpstreamRateLimiter::setCold(core::MonoTime now, const core::UpstreamId &id, ColdLimit limit,
                                  ColdSource source, const UpstreamLimitShare &share)
{
    if (limit.perSecond <= 0 && !limited_.contains(id))
        return;
    Limited &limited = entryOf(now, id);
    settle(now, limited, share);
    limited.cold = limit;
    if (limit.perSecond <= 0 || now >= limit.until) {
        endCold(id, limited, source);
        return;
    }
    if (!limited.isCold) {
        limited.isCold = true;
        limited.coldTokens = 0;
        limited.coldToldUntil = {};
        core::logEvent(core::LogLevel::Info, "upstream_cold",
                       {{"upstream", id.str()},
                        {"source", coldSourceName(source)},
                        {"for_ms", toMillis(limit.until - now)},
                        {"milli_per_s", toMilli(RequestRate {.perSecond = limit.perSecond})},
                        {"own_pct", std::llround(100 * share.cold)}});
    }
    // Entries reach all VMs by themselves.
    if (source == ColdSource::Response
        && limit.until > limited.coldToldUntil + options_.coldReportStep)
        limited.announcesCold = true;
}

/** Records that an upstream no longer has a cold-start limit. */
void UpstreamRateLimiter::endCold(const core::UpstreamId &id, Limited &limited, ColdSource cause)
{
    limited.announcesCold = false;
    if (!std::exchange(limited.isCold, false))
        return;
    core::logEvent(core::LogLevel::Info, "upstream_warm",
                   {{"upstream", id.str()}, {"cause", coldSourceName(cause)}});
}

bool UpstreamRateLimiter::isCold(core::MonoTime now, const core::UpstreamId &id) const
{
    const auto found = limited_.find(id);
    return found != limited_.end() && found->second.isCold && now < found->second.cold.until;
}

void UpstreamRateLimiter::restarted(const core::UpstreamId &id)
{
    const auto found = limited_.find(id);
    if (found == limited_.end())
        return;
    endCold(id, found->second, ColdSource::Entry);
    Limited before = std::move(found->second);
    limited_.erase(found);
    if (before.cold.perSecond <= 0)
        return;
    Limited &limited = entryOf(before.countedAt, id);
    limited.own = std::move(before.own);
    limited.others = std::move(before.others);
    limited.cold.perSecond = before.cold.perSecond;
}

std::vector<UpstreamLimitReport> UpstreamRateLimiter::takeReports(core::MonoTime now,
                                                                  std::size_t maxReports)
{
    removeExpired(now);
    std::vector<UpstreamLimitReport> reports;
    for (auto &[id, limited] : limited_) {
        if (limited.isCold && now >= limited.cold.until)
            endCold(id, limited, ColdSource::Time);
        if (reports.size() >= maxReports)
            break;
        // Only VMs that still get responses of the upstream repeat its limit.
        const bool isDue = limited.limit && now - limited.reportedAt >= options_.reportInterval
            && now - limited.namedAt < options_.reportInterval;
        if (limited.unreported == 0 && !limited.isChanged && !limited.announcesCold && !isDue)
            continue;
        const bool announcesCold = std::exchange(limited.announcesCold, false);
        if (announcesCold)
            limited.coldToldUntil = limited.cold.until;
        reports.push_back(
            {.upstream = id,
             .limit = limited.limit,
             // A VM that has no statement must not replace that of another.
             .age =
                 limited.namedAt == core::MonoTime() ? core::Micros::max() : now - limited.namedAt,
             .requests = std::exchange(limited.unreported, 0),
             .announcesLimit = std::exchange(limited.isChanged, false) || announcesCold || isDue,
             .coldLeft = announcesCold ? limited.cold.until - now : core::Micros(0)});
        limited.reportedAt = now;
    }
    return reports;
}

/** Forgets upstreams that have not named a limit for the length of the window. */
void UpstreamRateLimiter::removeExpired(core::MonoTime now)
{
    std::erase_if(limited_, [&](const auto &entry) {
        return !entry.second.limit && !entry.second.isChanged && entry.second.cold.perSecond <= 0
            && now - entry.second.namedAt > options_.window;
    });
}

std::optional<RequestRate> UpstreamRateLimiter::limitOf(const core::UpstreamId &id) const
{
    const auto found = limited_.find(id);
    if (found == limited_.end())
        return std::nullopt;
    const Limited &limited = found->second;
    if (!limited.isCold)
        return limited.limit;
    const RequestRate cold {.perSecond = limited.cold.perSecond};
    return limited.limit ? std::min(*limited.limit, cold) : cold;
}

std::size_t UpstreamRateLimiter::size() const
{
    return static_cast<std::size_t>(
        std::count_if(limited_.begin(), limited_.end(),
                      [](const auto &entry) { return entry.second.limit.has_value(); }));
}

} // namespace teaselreach::proxy
