/** @file daemon.cpp The daemon: both servers, the request pipeline and its collaborators. */
#include "daemon/daemon_base.h"
#include "daemon/entry_answer_func.h"

#include <thread>

namespace teaselreach::daemon {

namespace {

http::ClientOptions clientOptions(const settings::UpstreamSettings &upstream)
{
    return {.connectTimeout = upstream.connectTimeout,
            .idleConnection = upstream.idleConnection,
            .maxIdleConnections = static_cast<std::size_t>(upstream.maxIdleConnections)};
}

} // namespace

Daemon::Daemon(settings::Settings settings)
    : settings_(std::move(settings))
    , config_(settings_.keys)
    , client_(clientOptions(settings_.upstream))
    , vmList_(std::make_shared<const core::VmList>())
    , pipeline_({.config = config_,
                 .limits = limits_,
                 .gate = gate_,
                 .chooser = chooser_,
                 .client = client_,
                 .lifecycle = lifecycle_,
                 .counters = counters_})
    , control_({.settings = settings_,
                .lifecycle = lifecycle_,
                .config = config_,
                .counters = counters_,
                .handlers = handlers_})
    , controlServer_(serverOptions(settings_.listen.controlPort), controlHandlers())
    , callerServer_(serverOptions(settings_.listen.callerPort), callerHandlers())
{
    core::logEvent(core::LogLevel::Info, "daemon_started",
                   {{"vm", settings_.vm.id.str()}, {"address", settings_.vm.address}});
}

void Daemon::applyVmList(core::VmList vms)
{
    chooser_.applyVmList(vms);
    auto shared = std::make_shared<const core::VmList>(std::move(vms));
    const std::lock_guard lock(vmListMutex_);
    vmList_ = std::move(shared);
}

void Daemon::shutDown()
{
    lifecycle_.enter(Phase::Leaving);
    core::logEvent(core::LogLevel::Info, "daemon_leaving", {{"vm", settings_.vm.id.str()}});
    std::this_thread::sleep_for(settings_.shutdown.entryHold);
    lifecycle_.enter(Phase::Refusing);
    callerServer_.waitUntilIdle();
    callerServer_.stop();
    controlServer_.stop();
    core::logEvent(core::LogLevel::Info, "daemon_stopped", {{"vm", settings_.vm.id.str()}});
}

http::ServerHandlers Daemon::callerHandlers()
{
    return {.onRequest = [this](const auto &request) { return answerCaller(request); },
            .onFault = [this](http::ServerFault fault) { return answerFault(fault); }};
}

http::ServerHandlers Daemon::controlHandlers()
{
    return {.onRequest = [this](const auto &request) { return control_.handle(request); },
            .onFault = [this](http::ServerFault fault) { return answerFault(fault); }};
}

http::ServerOptions Daemon::serverOptions(std::uint16_t port) const
{
    return {.address = settings_.vm.address,
            .port = port,
            .maxBodyBytes = settings_.listen.maxBodyBytes,
            .idleTimeout = settings_.listen.idleTimeout,
            .requestTimeout = settings_.listen.headerTimeout};
}

http::ServerResponse Daemon::answerCaller(const http::ServerRequest &request)
{
    return request.path == entryPath ? answerEntryRequest(request) : pipeline_.handle(request);
}

http::ServerResponse Daemon::answerEntryRequest(const http::ServerRequest &request)
{
    const bool keysUsable = config_.keysUsable(core::MonoClock::now());
    core::VmList vms = *vmList();
    // The platform's list may not show yet that this VM is leaving.
    for (core::EntryVm &vm : vms.entryVms) {
        if (vm.id == settings_.vm.id && lifecycle_.phase() != Phase::Serving)
            vm.state = core::VmState::Leaving;
    }
    try {
        return answerEntry(request, config_.current().get(), keysUsable, vms);
    } catch (const RequestRefused &refused) {
        counters_.countRefused(refused.refusal());
        return makeRefusal(refused.refusal(), makeRequestId());
    }
}

http::ServerResponse Daemon::answerFault(http::ServerFault fault)
{
    const table::Refusal refusal = fault == http::ServerFault::BodyTooLarge
        ? table::Refusal::BodyTooLarge
        : table::Refusal::MalformedRequest;
    counters_.countRefused(refusal);
    const core::RequestId id = makeRequestId();
    core::logEvent(core::LogLevel::Info, "request_done",
                   {{"request_id", id.str()},
                    {"outcome", table::refusalRow(refusal).code},
                    {"reason", fault == http::ServerFault::BodyTooLarge ? "body" : "slow_sender"}});
    return makeRefusal(refusal, id);
}

std::shared_ptr<const core::VmList> Daemon::vmList() const
{
    const std::lock_guard lock(vmListMutex_);
    return vmList_;
}

} // namespace teaselreach::daemon
