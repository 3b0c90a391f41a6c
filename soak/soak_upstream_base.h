/** @file soak_upstream_base.h An upstream of the soak: runs requests, or fails in one of many ways.
 */
#pragma once

#include "daemon_process_base.h"
#include "ledger_base.h"
#include "proxy/caller_session_base.h"

#include <random>
#include <string>

namespace teaselreach::soak {

/** How an upstream misbehaves. */
enum class UpstreamFault : std::uint8_t {
    None,
    Errors,      ///< Runs the request and reports a failure.
    Hangs,       ///< Runs the request and does not answer for seconds.
    Sheds,       ///< Says that it did not run the request.
    Slow,        ///< Takes ten times as long.
    MissingSeal, ///< Answers with success and without its seal.
};

/** One upstream with an HTTP server of its own. */
class SoakUpstream
{
public:
    /** @param id Its id. @param port Port on soakAddress(). @param ledger Records what it runs. */
    SoakUpstream(proxy::asio::io_context &context, std::string id, std::uint16_t port,
                 Ledger &ledger, std::uint64_t seed);

    /** Changes how it behaves. */
    void setFault(UpstreamFault fault) { fault_ = fault; }
    /** @return Its id. */
    const std::string &id() const { return id_; }
    /** Says that operators drain it; requests that come much later are broken promises. */
    void startDrain(core::MonoTime now) { drainingSince_ = now; }
    /** Says that the time of a drain is not to be judged, because others are out of touch. */
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
