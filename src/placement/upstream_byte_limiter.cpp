/** @file upstream_byte_limiter.cpp Bounds the request bodies that one upstream holds. */
#include "core/log_func.h"
#include "placement/upstream_byte_limiter_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

std::string_view upstreamEndName(UpstreamEnd end)
{
    switch (end) {
    case UpstreamEnd::EntryRemoved:
        return "entry_removed";
    case UpstreamEnd::Restarted:
        return "restarted";
    case UpstreamEnd::ConnectionsBroken:
        break;
    }
    return "connections_broken";
}

bool UpstreamByteLimiter::hasRoom(core::MonoTime now, const UpstreamEntry &upstream,
                                  std::size_t bodyBytes, double share) const
{
    const std::optional<double> bound =
        bodyBytes > 0 ? boundOf(now, upstream.service) : std::nullopt;
    // An inactive VM has no share, but its callers may still have open connections.
    return !bound
        || static_cast<double>(heldBy(now, upstream.id) + bodyBytes)
        <= *bound * std::max(share, options_.minShare);
}

bool UpstreamByteLimiter::canEverHold(core::MonoTime now, const core::ServiceId &service,
                                      std::size_t bodyBytes, double share) const
{
    const std::optional<double> bound = bodyBytes > 0 ? boundOf(now, service) : std::nullopt;
    return !bound || static_cast<double>(bodyBytes) <= *bound * std::max(share, options_.minShare);
}

void UpstreamByteLimiter::started(core::MonoTime now, const core::UpstreamId &upstream,
                                  std::uint64_t attempt, std::size_t bodyBytes)
{
    if (!options_.enabled || bodyBytes == 0)
        return;
    Held &held = held_[upstream];
    while (!held.unfinished.empty() && held.unfinished.front().until <= now)
        held.unfinished.pop_front();
    held.inFlight[attempt] = bodyBytes;
}

void UpstreamByteLimiter::finished(core::MonoTime now, const UpstreamEntry &upstream,
                                   std::uint64_t attempt, AttemptEnd end, double share)
{
    const auto found = held_.find(upstream.id);
    if (found == held_.end())
        return;
    Held &held = found->second;
    const std::size_t heldBefore = bytesOf(now, held);
    const auto body = held.inFlight.find(attempt);
    const bool hasBody = body != held.inFlight.end();
    const std::size_t bodyBytes = hasBody ? body->second : 0;
    if (hasBody)
        held.inFlight.erase(body);
    switch (end) {
    case AttemptEnd::Broken:
    case AttemptEnd::TimedOut:
    case AttemptEnd::CallerLeft:
    case AttemptEnd::Superseded:
        if (hasBody)
            held.unfinished.push_back({.until = now + options_.unfinishedTime, .bytes = bodyBytes});
        if (hasBody && end == AttemptEnd::Broken)
            connectionBroke(now, upstream, heldBefore, share);
        return;
    case AttemptEnd::NotSent:
        return;
    case AttemptEnd::Answered:
    case AttemptEnd::ServerError:
    case AttemptEnd::NotExecuted:
    case AttemptEnd::UnprovenRefusal:
    case AttemptEnd::Misdirected:
        break;
    }
    held.broken = 0;
    if (held.inFlight.empty() && bytesOf(now, held) == 0)
        held_.erase(found);
}

/** Records that a connection with a body broke. If all have broken, the upstream has ended. */
void UpstreamByteLimiter::connectionBroke(core::MonoTime now, const UpstreamEntry &upstream,
                                          std::size_t heldBefore, double share)
{
    Held &held = held_[upstream.id];
    if (held.broken == 0 || now - held.brokenSince > options_.breakWindow) {
        held.broken = 0;
        held.brokenSince = now;
        held.bytesAtBreak = heldBefore;
    }
    ++held.broken;
    if (!held.inFlight.empty() || held.broken < options_.minBroken)
        return;
    learn(now, upstream, held.bytesAtBreak, UpstreamEnd::ConnectionsBroken, share);
    held_.erase(upstream.id);
}

void UpstreamByteLimiter::ended(core::MonoTime now, const UpstreamEntry &upstream, UpstreamEnd end,
                                double share)
{
    const std::size_t heldBytes = heldBy(now, upstream.id);
    held_.erase(upstream.id);
    learn(now, upstream, heldBytes, end, share);
}

/** Lowers the bound if an upstream has ended while it held many bytes. */
void UpstreamByteLimiter::learn(core::MonoTime now, const UpstreamEntry &upstream,
                                std::size_t heldBytes, UpstreamEnd end, double share)
{
    if (!options_.enabled || heldBytes < options_.minHeldAtEnd)
        return;
    const double overAll = static_cast<double>(heldBytes) / std::max(share, options_.minShare);
    const double allowed = options_.allowedPart * overAll;
    const std::optional<double> before = boundOf(now, upstream.service);
    // Of two upstreams that end together, the one that held less may have had less memory.
    const double bound = before ? std::min(*before, allowed) : allowed;
    bounds_[upstream.service] = {.bytes = bound, .endedAt = now};
    core::logEvent(core::LogLevel::Warn, "upstream_byte_limit",
                   {{"service", upstream.service.str()},
                    {"upstream", upstream.id.str()},
                    {"bytes", static_cast<std::int64_t>(bound)},
                    {"held", static_cast<std::int64_t>(heldBytes)},
                    {"reason", upstreamEndName(end)}});
}

std::optional<double> UpstreamByteLimiter::boundOf(core::MonoTime now,
                                                   const core::ServiceId &service) const
{
    const auto found = bounds_.find(service);
    if (found == bounds_.end())
        return std::nullopt;
    const auto raises = std::max<core::Micros::rep>(
        0, core::Micros(now - found->second.endedAt) / options_.raiseInterval);
    return found->second.bytes * std::pow(options_.raiseFactor, static_cast<double>(raises));
}

std::size_t UpstreamByteLimiter::heldBy(core::MonoTime now, const core::UpstreamId &upstream) const
{
    const auto found = held_.find(upstream);
    return found == held_.end() ? 0 : bytesOf(now, found->second);
}

std::size_t UpstreamByteLimiter::bytesOf(core::MonoTime now, const Held &held)
{
    std::size_t bytes = 0;
    for (const auto &[attempt, bodyBytes] : held.inFlight)
        bytes += bodyBytes;
    for (const Unfinished &body : held.unfinished)
        bytes += body.until > now ? body.bytes : 0;
    return bytes;
}

} // namespace teaselreach::proxy
