/** @file daemon_base.h The daemon with its servers, the request pipeline and its services. */
#pragma once

#include "core/vm_type.h"
#include "daemon/control_base.h"
#include "daemon/gate_service_base.h"
#include "daemon/limit_service_base.h"
#include "daemon/peer_directory_base.h"
#include "daemon/request_observer_base.h"
#include "daemon/request_pipeline_base.h"
#include "daemon/upstream_service_base.h"
#include "http/server_base.h"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

namespace teaselreach::daemon {

class Feeds;

/** The servers and services of a daemon process; updates from outside begin with startFeeds(). */
class Daemon
{
public:
    /**
     * Starts the caller server and the control server.
     * @param settings Validated settings.
     * @throws http::ServerUnavailable if a port cannot be bound.
     */
    explicit Daemon(settings::Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Starts the updates from the store, the VM list and the peers. */
    void startFeeds();

    /** @return The active configuration, for the feeds that update it. */
    SharedConfig &config() { return config_; }
    /** Applies a configuration to all services if its revision is higher than the active one. */
    void applyConfig(const std::shared_ptr<const config::ConfigSnapshot> &snapshot);
    /** Applies a VM list to all services. */
    void applyVmList(core::VmList vms);
    /** Sets the capacity of each gate from the upstreams in use. */
    void updateGateSlots();

    /**
     * Shuts down gracefully: announces that this VM leaves, waits shutdown.entry_hold_s, refuses
     * new requests, finishes those in flight, hands over limit shares and stops both servers.
     */
    void shutDown();

private:
    using Pipeline = RequestPipeline<SharedConfig, LimitService, GateService, UpstreamService>;

    void addHandlers();
    Feeds &feeds() const;
    void handOverLimits();
    http::ServerResponse refuse(table::Refusal refusal, const std::string &reason);
    nlohmann::json answerStatus() const;
    nlohmann::json answerMembers() const;
    nlohmann::json answerExplain(const nlohmann::json &params) const;
    nlohmann::json answerBurn() const;
    proxy::CallerHandlers callerHandlers();
    http::ServerHandlers controlHandlers();
    http::ServerOptions controlOptions() const;
    proxy::SessionLimits callerLimits() const;
    proxy::asio::awaitable<void> answerCaller(std::shared_ptr<proxy::CallerExchange> exchange);
    http::ServerResponse answerEntryRequest(const http::ServerRequest &request);
    http::ServerResponse answerReadError(bool bodyTooLarge);
    proxy::asio::awaitable<void> closeStaleConnectionsRegularly();
    void runOnLoop(const std::function<void()> &task);
    void drainCallers();
    void stopEventLoop();
    std::shared_ptr<const core::VmList> vmList() const;

    settings::Settings settings_;
    proxy::asio::io_context context_ {1}; ///< Event loop of callers and upstreams, on one thread.
    core::Incarnation incarnation_;
    Lifecycle lifecycle_;
    RequestObserver observer_;
    SharedConfig config_;
    PeerDirectory directory_;
    rpc::HttpTransport transport_;
    LimitService limits_;
    GateService gate_;
    UpstreamService upstreams_;
    rpc::HandlerTable handlers_;
    mutable std::mutex vmListMutex_;
    std::shared_ptr<const core::VmList> vmList_;
    Pipeline pipeline_;
    proxy::CallerServer callerServer_;
    ControlHandler control_;
    std::unique_ptr<Feeds> feeds_;
    std::atomic<Feeds *> startedFeeds_ {nullptr}; ///< For other threads; null before startFeeds().
    // Declared last and so destroyed first: their threads use the members above.
    http::Server controlServer_;
    proxy::asio::executor_work_guard<proxy::asio::io_context::executor_type> eventLoopWorkGuard_;
    std::thread eventLoopThread_;
};

} // namespace teaselreach::daemon
