/** @file upstream_base.h Stand-in for one upstream of a service (design, section 3.2). */
#pragma once

#include "standins/server_base.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace teaselreach::standins {

/** What an upstream can do. */
struct UpstreamOptions
{
    std::string name = "upstream";
    int slots = 2; ///< Requests it works on at a time.
    std::chrono::milliseconds serviceTime {5};
    std::chrono::milliseconds probeTime {25}; ///< A health probe holds a free slot this long.
    std::chrono::milliseconds coldStart {0};  ///< Time after the start with coldFactor in force.
    double coldFactor = 4.0;                  ///< Service time multiplier in a cold start.
    int maxWaiting = 64;                      ///< More waiting requests than this are shed.
};

/** Switchable faults of an upstream. */
struct UpstreamFaults
{
    bool stall = false;      ///< Requests run, but are not answered while this is set.
    bool drain = false;      ///< Takes no new work and says so.
    bool shed = false;       ///< Refuses all work with 503 and `X-Not-Run: 1`.
    bool unhealthy = false;  ///< The health endpoint answers 503; requests are served.
    double slowFactor = 1.0; ///< Service time multiplier.
    int errorEvery = 0;      ///< Each n-th request runs and is answered with 500; 0 = none.
    int truncateEvery = 0;   ///< Each n-th answer is cut in the middle of its body; 0 = none.
};

/** One request that ran. */
struct Execution
{
    std::string requestId;
    std::string account;
    std::string method;
    std::string path;
};

/**
 * Answers every path with a JSON echo of the request, `GET /health`, `GET /load`,
 * `GET /admin/executions` (`?request_id=` for one request) and `POST /admin/faults` (stall, drain,
 * shed, unhealthy, slow_factor, error_every, truncate_every; absent members are off).
 */
class Upstream
{
public:
    /**
     * @param listen Where to listen.
     * @param options Sizes and times.
     */
    explicit Upstream(const ListenOptions &listen, UpstreamOptions options = {});
    ~Upstream();
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    /** @return The base URL. */
    std::string url() const { return server_.url(); }
    /** @return The port in use. */
    std::uint16_t port() const { return server_.port(); }
    /** Replaces the faults in force. */
    void setFaults(const UpstreamFaults &faults);
    /** @return Everything that ran since the start, in order. */
    std::vector<Execution> executions() const;
    /** @return How often a request ran. */
    std::uint64_t executionsOf(const std::string &requestId) const;

private:
    using Clock = std::chrono::steady_clock;

    Answer handle(const Request &request);
    Answer handleAdmin(const Request &request);
    Answer probe();
    Answer load() const;
    Answer serve(const Request &request);
    bool takeSlot(std::unique_lock<std::mutex> &lock, const Request &request);
    std::uint64_t record(const Request &request);
    void work(std::unique_lock<std::mutex> &lock, const Request &request);
    void freeSlot();
    Answer refuse(const std::string &reason) const;
    Answer respond(const Request &request, std::uint64_t sequence) const;
    void addLoadHeaders(Answer &answer) const;

    const UpstreamOptions options_;
    const Clock::time_point started_ = Clock::now();
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    UpstreamFaults faults_;
    int busy_ = 0;
    int waiting_ = 0;
    std::vector<Execution> log_;
    std::map<std::string, std::uint64_t> countByRequest_;
    Server server_;
};

} // namespace teaselreach::standins
