/** @file daemon_base.h The daemon: both servers, the request pipeline and its collaborators. */
#pragma once

#include "core/vm_type.h"
#include "daemon/control_base.h"
#include "daemon/plain_collaborators_base.h"
#include "daemon/request_pipeline_base.h"
#include "http/server_base.h"

#include <memory>
#include <mutex>

namespace teaselreach::daemon {

/** Everything that one daemon process runs, except the loops that feed it. */
class Daemon
{
public:
    /**
     * Starts both servers.
     * @param settings Checked settings.
     * @throws http::ServerUnavailable if a port cannot be bound.
     */
    explicit Daemon(settings::Settings settings);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** @return The configuration in force, for the loops that update it. */
    SharedConfig &config() { return config_; }
    /** Puts a list of VMs in force. */
    void applyVmList(core::VmList vms);

    /**
     * Leaves the fleet: announces it, waits shutdown.entry_hold_s, refuses new requests, finishes
     * the requests in flight and stops both servers.
     */
    void shutDown();

private:
    using Pipeline = RequestPipeline<SharedConfig, AdmitAll, OpenGate, RoundRobinChooser>;

    http::ServerHandlers callerHandlers();
    http::ServerHandlers controlHandlers();
    http::ServerOptions serverOptions(std::uint16_t port) const;
    http::ServerResponse answerCaller(const http::ServerRequest &request);
    http::ServerResponse answerEntryRequest(const http::ServerRequest &request);
    http::ServerResponse answerFault(http::ServerFault fault);
    std::shared_ptr<const core::VmList> vmList() const;

    settings::Settings settings_;
    Lifecycle lifecycle_;
    Counters counters_;
    SharedConfig config_;
    AdmitAll limits_;
    OpenGate gate_;
    RoundRobinChooser chooser_;
    http::Client client_;
    rpc::HandlerTable handlers_;
    mutable std::mutex vmListMutex_;
    std::shared_ptr<const core::VmList> vmList_;
    Pipeline pipeline_;
    Control control_;
    // Destroyed first: their threads use all of the above.
    http::Server controlServer_;
    http::Server callerServer_;
};

} // namespace teaselreach::daemon
