/** @file soak_upstream_base.h An upstream with fault injection for the soak. */
#pragma once

#include "daemon_process_base.h"
#include "ledger_base.h"
#include "proxy/caller_session_base.h"

#include <random>
#include <string>

namespace teaselreach::soak {

/** Fault that an upstream simulates. It applies to a random part of the requests. */
enum class UpstreamFault : std::uint8_t {
    None,
    Errors,      ///< Runs the request and answers with 500.
    Hangs,       ///< Runs the request and answers after 8 s.
    Sheds,       ///< Refuses the request with 503 and marks it as not run.
    Slow,        ///< Takes ten times as long.
    MissingSeal, ///< Answers with success but without the seal.
};

/** An upstream with its own HTTP server. */
class SoakUpstream
{
public:
    /** @param port Port on soakAddress(). @param ledger Records runs. @param seed For faults. */
    SoakUpstream(proxy::asio::io_context &context, std::string id, std::uint16_t port,
                 Ledger &ledger, std::uint64_t seed);

    /** Sets the simulated fault. */
    void setFault(UpstreamFault fault) { fault_ = fault; }
    /** @return Its id, under which it is registered in the store. */
    const std::string &id() const { return id_; }
    /** Starts a drain. Requests that arrive later than the drain bound are violations. */
    void startDrain(core::MonoTime now) { drainingSince_ = now; }
    /** Restarts the time of a running drain, because a fault may have delayed the news of it. */
    void restartDrainTimer(core::MonoTime now);

private:
    proxy::asio::awaitable<void> serve(std::shared_ptr<proxy::CallerExchange> exchange);
    proxy::asio::awaitable<void> sleepFor(core::Micros time);
    void checkDrain(const std::string &id);

    proxy::asio::io_context &context_;
    std::string id_;
    Ledger &ledger_;
    std::mt19937_64 random_;
    UpstreamFault fault_ = UpstreamFault::None;
    std::optional<core::MonoTime> drainingSince_;
    proxy::CallerServer server_;
};

} // namespace teaselreach::soak
