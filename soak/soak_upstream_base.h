/** @file soak_upstream_base.h An upstream with fault injection for the soak. */
#pragma once

#include "daemon_process_base.h"
#include "ledger_base.h"
#include "proxy/asio_type.h"
#include "upstream_behaviour_type.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace teaselreach::soak {

/** An upstream with its own HTTP server. */
class SoakUpstream
{
public:
    /** @param port Port on soakAddress(). @param ledger Records runs. @param seed For faults. */
    SoakUpstream(proxy::asio::io_context &context, std::string id, SoakZone zone,
                 std::uint16_t port, Ledger &ledger, std::uint64_t seed);

    /** Sets the behaviour for most requests from now on; nullptr for the proper one. Some requests
     * always meet a fault at random. */
    void setFault(const UpstreamBehaviour *fault) { fault_ = fault; }
    /** @return The time that it reports for its last start; it only has to differ between starts.
     */
    std::int64_t bornAt() const { return starts_; }
    /** @return Its id, under which it is registered in the store. */
    const std::string &id() const { return id_; }
    /** Starts again at the same address, as a new process: requests in progress and connections
     * end.
     * @param id The same id or a new one; requests for another one are refused. */
    void restartAs(std::string id);
    /** Becomes cold, with or without a restart. Arrivals above the cold-start limit are violations
     * once the VMs must know of it. */
    void becomeCold(core::MonoTime now);
    /** @return Time left until it is warm. */
    core::Micros warmupLeft(core::MonoTime now) const;
    /** Excuses arrivals for a while, because a fault has held requests back or may have delayed the
     * news of a cold start. */
    void excuseColdArrivals(core::MonoTime now);
    /** @return Its zone. */
    const SoakZone &zone() const { return zone_; }
    /** A cut of its path has ended; the requests that it held arrive now. */
    void pathHealed(core::MonoTime now) { pathHealedAt_ = now; }
    /** @return Whether it drains. */
    bool isDraining() const { return drainingSince_.has_value(); }
    /** Starts a drain. Requests that arrive later than the drain bound are violations. */
    void startDrain(core::MonoTime now) { drainingSince_ = now; }
    /** Restarts the time of a running drain, because a fault may have delayed the news of it. */
    void restartDrainTimer(core::MonoTime now);

private:
    /** One connection; late responses keep it until they are written. */
    struct Connection
    {
        explicit Connection(proxy::asio::io_context &context)
            : socket(context)
        { }
        proxy::Socket socket;
        int start = 0; ///< The start of the upstream to which it belongs.
        bool open = true;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void write(const ConnectionPtr &connection, const std::string &bytes);
    void writeSoon(const ConnectionPtr &connection, const std::string &bytes);

    proxy::asio::awaitable<void> acceptConnections();
    proxy::asio::awaitable<void> serveConnection(ConnectionPtr connection);
    proxy::asio::awaitable<void> serve(const ConnectionPtr &connection,
                                       const proxy::HttpRequest &request);
    proxy::asio::awaitable<void> perform(UpstreamStep step, const ConnectionPtr &connection,
                                         const proxy::HttpRequest &request);
    proxy::asio::awaitable<void> sleepFor(core::Micros time);
    static void close(Connection &connection);
    void run(const proxy::HttpRequest &request);
    const UpstreamBehaviour &chooseBehaviour();
    std::string makeResponse(UpstreamStep step, const std::string &id);

    proxy::asio::io_context &context_;
    std::string id_;
    SoakZone zone_;
    Ledger &ledger_;
    std::mt19937_64 random_;
    const UpstreamBehaviour *fault_ = nullptr;
    int starts_ = 1;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::optional<core::MonoTime> drainingSince_;
    core::MonoTime warmAt_ {};
    core::MonoTime coldExcusedUntil_ {};
    core::MonoTime pathHealedAt_ {};
    proxy::asio::ip::tcp::acceptor acceptor_;
};

} // namespace teaselreach::soak
