/** @file upstream_byte_limiter_base.h Bounds the request bodies that one upstream holds. */
#pragma once

#include "placement/placement_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace teaselreach::proxy {

/** Parameters of an UpstreamByteLimiter. */
struct UpstreamByteLimiterOptions
{
    bool enabled = false;
    /** Bytes of this VM at an upstream from which its end may be caused by them. */
    std::size_t minHeldAtEnd = 1'000'000;
    /** Part of the bytes held at the end that is allowed afterwards. */
    double allowedPart = 0.5;
    /** Time without such an end after which the bound is raised, and the factor. */
    core::Micros raiseInterval {core::Seconds(60)};
    double raiseFactor = 1.1;
    /** Time within which the connections to an upstream break if it ends. */
    core::Micros breakWindow {core::Millis(250)};
    /** Connections that have to break together; a single one may have its own cause. */
    int minBroken = 2;
    /** Time for which a body without a response still counts: the upstream may be working on it,
     * and the entry of one that has crashed takes seconds to vanish. */
    core::Micros unfinishedTime {core::Seconds(5)};
    /** Lower bound of the share in the calculation of a bound. */
    double minShare = 0.001;
};

/** How an upstream ended while it held request bodies. */
enum class UpstreamEnd : std::uint8_t {
    EntryRemoved,
    Restarted,
    ConnectionsBroken,
};

/** @return The name of an end in logs; these names do not change. */
std::string_view upstreamEndName(UpstreamEnd end);

/**
 * Bounds the bytes of request bodies that one upstream of a service holds, summed over all VMs, of
 * which each VM applies its share. There is no bound until an upstream ends while it holds many
 * bytes. Each VM learns the bound from its own bytes and share. Uses no threads, sockets or clocks.
 */
class UpstreamByteLimiter
{
public:
    /** @param options Parameters. */
    explicit UpstreamByteLimiter(const UpstreamByteLimiterOptions &options = {})
        : options_(options)
    { }

    /** @param share This VM's share of the bound, 0 to 1.
     * @return Whether an upstream may get one more body now. */
    bool hasRoom(core::MonoTime now, const UpstreamEntry &upstream, std::size_t bodyBytes,
                 double share) const;
    /** @return Whether a body fits this VM's share while it has no other at an upstream. */
    bool canEverHold(core::MonoTime now, const core::ServiceId &service, std::size_t bodyBytes,
                     double share) const;
    /** Records that a body is about to be sent to an upstream. @param attempt Placement::attempt.
     */
    void started(core::MonoTime now, const core::UpstreamId &upstream, std::uint64_t attempt,
                 std::size_t bodyBytes);
    /** Records the end of an attempt, with or without a body. */
    void finished(core::MonoTime now, const UpstreamEntry &upstream, std::uint64_t attempt,
                  AttemptEnd end, double share);
    /** Records that an upstream has ended, and forgets what it held. */
    void ended(core::MonoTime now, const UpstreamEntry &upstream, UpstreamEnd end, double share);
    /** @return The bound of each upstream of a service over all VMs in bytes, if there is one. */
    std::optional<double> boundOf(core::MonoTime now, const core::ServiceId &service) const;
    /** @return Bytes of this VM that an upstream holds. */
    std::size_t heldBy(core::MonoTime now, const core::UpstreamId &upstream) const;

private:
    /** A body whose attempt ended without a response. */
    struct Unfinished
    {
        core::MonoTime until {};
        std::size_t bytes = 0;
    };

    /** The bodies of this VM at one upstream. */
    struct Held
    {
        std::map<std::uint64_t, std::size_t> inFlight; ///< Bytes by attempt.
        std::deque<Unfinished> unfinished;             ///< Ordered by time.
        int broken = 0; ///< Connections that broke since brokenSince without a response between.
        core::MonoTime brokenSince {};
        std::size_t bytesAtBreak = 0; ///< Held when the first of them broke.
    };

    /** The bound of a service as of its last change. */
    struct Bound
    {
        double bytes = 0;
        core::MonoTime endedAt {}; ///< Time of the last end of an upstream.
    };

    static std::size_t bytesOf(core::MonoTime now, const Held &held);
    void connectionBroke(core::MonoTime now, const UpstreamEntry &upstream, std::size_t heldBefore,
                         double share);
    void learn(core::MonoTime now, const UpstreamEntry &upstream, std::size_t heldBytes,
               UpstreamEnd end, double share);

    UpstreamByteLimiterOptions options_;
    std::unordered_map<core::UpstreamId, Held, core::StrongHash> held_;
    std::unordered_map<core::ServiceId, Bound, core::StrongHash> bounds_;
};

} // namespace teaselreach::proxy
