/** @file relay_base.h TCP relay that can stop each direction, to stand for a one-way partition. */
#pragma once

#include "standins/server_base.h"

#include <atomic>
#include <cstdint>
#include <list>
#include <thread>

namespace teaselreach::standins {

/** The directions that are stopped. */
struct RelayCuts
{
    bool toTarget = false; ///< Bytes of the caller do not reach the target.
    bool toCaller = false; ///< Bytes of the target do not reach the caller.
};

/**
 * Passes connections on to a target. Bytes of a stopped direction are held and delivered once it
 * is open again, as TCP does after a partition. A caller can still connect to the relay itself.
 */
class Relay
{
public:
    /**
     * @param listen Where to listen.
     * @param target Loopback address and port that connections go to.
     */
    Relay(const ListenOptions &listen, ListenOptions target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** @return The base URL for HTTP through the relay. */
    std::string url() const;
    /** Stops and opens directions, also of existing connections. */
    void setCuts(const RelayCuts &cuts);
    /** @return The answer to `POST /admin/faults` with cut_to_target and cut_to_caller. */
    Answer handleAdmin(const Request &request);

private:
    struct Direction
    {
        int from;
        int to;
        const std::atomic<bool> *cut;
        bool ended = false;
    };

    void acceptLoop();
    void connectionLoop(int caller);
    bool forward(Direction &direction) const;
    int connectTarget() const;

    const std::string address_;
    const ListenOptions target_;
    const int listener_;
    std::atomic<bool> stopping_ {false};
    std::atomic<bool> cutToTarget_ {false};
    std::atomic<bool> cutToCaller_ {false};
    std::list<std::jthread> connections_; ///< Only the accepting thread adds to it.
    std::jthread acceptor_;
};

} // namespace teaselreach::standins
