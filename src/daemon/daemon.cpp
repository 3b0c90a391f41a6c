/** @file daemon.cpp The daemon with its servers, the request pipeline and its services. */
#include "core/digest_func.h"
#include "core/log_func.h"
#include "daemon/daemon_base.h"
#include "daemon/entry_answer_func.h"
#include "daemon/feeds_base.h"
#include "proxy/event_loop_func.h"

#include <condition_variable>
#include <future>
#include <sstream>

namespace teaselreach::daemon {

namespace {

/** Longest time for which a shutdown tries to hand over limit shares. */
constexpr core::Seconds maxHandOverWait {5};
/** Interval between attempts to hand over limit shares. */
constexpr core::Millis handOverInterval {100};
/** Interval between checks for stale connections. */
constexpr core::Millis staleConnectionCheckInterval {50};
/** Interval at which a shutdown checks for requests in flight. */
constexpr core::Millis drainCheckInterval {5};
/** Longest time for which a shutdown waits for callers that still read their responses. */
constexpr core::Seconds maxReadWait {5};
/** HTTP status of the response to a request that failed within the daemon. */
constexpr int internalErrorStatus = 500;

/** @return A random number that no other process of this VM has; needs no clock and no disk. */
core::Incarnation makeIncarnation()
{
    constexpr std::size_t bytes = 6; // LimitService multiplies the number by its shard count.
    return core::Incarnation(std::stoull(core::randomHex(bytes), nullptr, 16));
}

static_assert(settings::maxHedgePercent == 100 * proxy::maxHedgeRatio);

/** @return A number with as many digits as it needs, up to six. */
std::string numberText(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

/** Blocks the thread for the whole time; spurious wakeups do not shorten it. */
void sleepFor(core::Micros time)
{
    std::mutex mutex;
    std::unique_lock lock(mutex);
    std::condition_variable never;
    const core::MonoTime end = core::MonoClock::now() + time;
    while (core::MonoClock::now() < end)
        never.wait_for(lock, end - core::MonoClock::now());
}

} // namespace

Daemon::Daemon(settings::Settings settings)
    : settings_(std::move(settings))
    , incarnation_(makeIncarnation())
    , config_(settings_.keys)
    , transport_({.connectTimeout = settings_.upstream.connectTimeout})
    , limits_({.self = settings_.vm.id,
               .incarnation = incarnation_,
               .maxWait = settings_.limits.maxWait},
              directory_, transport_)
    , upstreams_(
          {.self = settings_.vm.id, .location = settings_.vm.location, .incarnation = incarnation_})
    , vmList_(std::make_shared<const core::VmList>())
    , pipeline_({.context = context_,
                 .config = config_,
                 .limits = limits_,
                 .gate = gate_,
                 .chooser = upstreams_,
                 .lifecycle = lifecycle_,
                 .observer = observer_},
                {.connectTimeout = settings_.upstream.connectTimeout,
                 .idleConnection = settings_.upstream.idleConnectionTimeout,
                 .connectionPool = {.maxIdlePerServer = static_cast<std::size_t>(
                                        settings_.upstream.maxIdleConnections)},
                 .hedges = {.limitRatio = settings_.upstream.hedgePercent / 100}})
    , callerServer_(context_, settings_.vm.address, settings_.listen.callerPort, callerHandlers())
    , control_({.settings = settings_,
                .lifecycle = lifecycle_,
                .config = config_,
                .observer = observer_,
                .handlers = handlers_})
    , controlServer_((addHandlers(), controlOptions()), controlHandlers())
    , eventLoopWorkGuard_(context_.get_executor())
    , eventLoopThread_([this] { proxy::runEventLoop(context_); })
{
    proxy::spawn(context_, "close_stale_connections",
                 [this]() { return closeStaleConnectionsRegularly(); });
    core::logEvent(core::LogLevel::Info, "daemon_started",
                   {{"vm", settings_.vm.id.str()},
                    {"address", settings_.vm.address},
                    {"hedge_percent", numberText(settings_.upstream.hedgePercent)}});
}

Daemon::~Daemon()
{
    // The threads of the feeds call the other services, and server threads call the feeds.
    stopEventLoop();
    controlServer_.stop();
    startedFeeds_.store(nullptr);
    feeds_.reset();
}

void Daemon::startFeeds()
{
    feeds_ = std::make_unique<Feeds>(
        Feeds::Parts {.settings = settings_,
                      .incarnation = incarnation_,
                      .lifecycle = lifecycle_,
                      .shared = config_,
                      .limits = limits_,
                      .upstreams = upstreams_,
                      .directory = directory_,
                      .transport = transport_,
                      .onConfig = [this](const auto &snapshot) { applyConfig(snapshot); },
                      .onVmList = [this](core::VmList vms) { applyVmList(std::move(vms)); }});
    startedFeeds_.store(feeds_.get());
}

void Daemon::applyConfig(const std::shared_ptr<const config::ConfigSnapshot> &snapshot)
{
    if (!config_.apply(snapshot))
        return;
    limits_.onConfig(snapshot);
    upstreams_.onConfig(*snapshot);
    observer_.burn().setObjectives(snapshot->records().objectives);
    observer_.registry().setGauge("teaselreach_config_revision", {},
                                  static_cast<double>(snapshot->revision().count()));
    updateGateSlots();
}

void Daemon::applyVmList(core::VmList vms)
{
    directory_.onVmList(vms);
    limits_.onVmList(vms);
    upstreams_.onVmList(vms);
    updateGateSlots();
    auto shared = std::make_shared<const core::VmList>(std::move(vms));
    const std::lock_guard lock(vmListMutex_);
    vmList_ = std::move(shared);
}

void Daemon::updateGateSlots()
{
    for (const ServiceSlots &slots : upstreams_.slotsInUse())
        gate_.setSlots(slots.service, slots.slots);
}

void Daemon::shutDown()
{
    lifecycle_.enter(core::Phase::Leaving);
    core::logEvent(core::LogLevel::Info, "daemon_leaving", {{"vm", settings_.vm.id.str()}});
    sleepFor(settings_.shutdown.entryHold);
    lifecycle_.enter(core::Phase::Refusing);
    drainCallers();
    stopEventLoop();
    handOverLimits();
    controlServer_.stop();
    core::logEvent(core::LogLevel::Info, "daemon_stopped", {{"vm", settings_.vm.id.str()}});
}

/**
 * Hands over this VM's limit shares if the VM list shows it as leaving. A daemon that is only
 * restarted keeps its shares.
 */
void Daemon::handOverLimits()
{
    Feeds *feeds = startedFeeds_.load();
    if (feeds == nullptr || limits_.actsAsHome() || !limits_.placement()
        || !limits_.placement()->hasOwner(settings_.vm.id))
        return;
    const core::MonoTime end = core::MonoClock::now() + maxHandOverWait;
    while (!feeds->placement().handOver() && core::MonoClock::now() < end)
        sleepFor(handOverInterval);
}

/** Runs a task on the event loop and waits until it has finished. */
void Daemon::runOnLoop(const std::function<void()> &task)
{
    std::promise<void> done;
    proxy::asio::post(context_, [&] {
        core::runGuarded("daemon_control", task);
        done.set_value();
    });
    done.get_future().wait();
}

/** Waits until all requests are answered, then stops accepting and closes the connections, each
 * once its caller has acknowledged the responses. */
void Daemon::drainCallers()
{
    std::size_t pending = 1;
    while (pending > 0) {
        runOnLoop([&] { pending = callerServer_.pending(); });
        if (pending > 0)
            sleepFor(drainCheckInterval);
    }
    runOnLoop([this] { callerServer_.stopAccepting(); });
    const core::MonoTime end = core::MonoClock::now() + maxReadWait;
    std::size_t open = 1;
    while (open > 0 && core::MonoClock::now() < end) {
        runOnLoop([&] {
            callerServer_.closeIdle(core::MonoClock::now());
            open = callerServer_.size();
        });
        if (open > 0)
            sleepFor(drainCheckInterval);
    }
}

void Daemon::stopEventLoop()
{
    context_.stop();
    if (eventLoopThread_.joinable())
        eventLoopThread_.join();
}

proxy::asio::awaitable<void> Daemon::closeStaleConnectionsRegularly()
{
    proxy::asio::steady_timer timer(context_);
    while (!context_.stopped()) {
        timer.expires_after(staleConnectionCheckInterval);
        proxy::ErrorCode ignored; // The timer is never cancelled.
        co_await timer.async_wait(proxy::captureError(ignored));
        core::runGuarded("close_stale_connections", [this] {
            const core::MonoTime now = core::MonoClock::now();
            callerServer_.closeStale(now);
            pipeline_.closeStaleUpstreamConnections(now);
            pipeline_.publishHedgeShare(now);
        });
    }
}

proxy::CallerHandlers Daemon::callerHandlers()
{
    return {.serve =
                [this](std::shared_ptr<proxy::CallerExchange> exchange) {
                    return answerCaller(std::move(exchange));
                },
            .limits = [this] { return callerLimits(); },
            .shouldClose = [this] { return lifecycle_.phase() != core::Phase::Serving; },
            .errorResponse =
                [this](proxy::RequestReadError fault) {
                    return toHttpResponse(
                        answerReadError(fault == proxy::RequestReadError::BodyTooLarge));
                }};
}

proxy::SessionLimits Daemon::callerLimits() const
{
    return {.maxBodyBytes = settings_.listen.maxBodyBytes,
            .headerTimeout = settings_.listen.headerTimeout,
            .idleTimeout = settings_.listen.idleTimeout,
            .requestTimeout = settings_.listen.headerTimeout};
}

http::ServerHandlers Daemon::controlHandlers()
{
    return {.onRequest = [this](const auto &request) { return control_.handle(request); },
            .onFault =
                [this](http::ReceiveError fault) {
                    return answerReadError(fault == http::ReceiveError::BodyTooLarge);
                }};
}

http::ServerOptions Daemon::controlOptions() const
{
    return {.address = settings_.vm.address,
            .port = settings_.listen.controlPort,
            .maxBodyBytes = settings_.listen.maxBodyBytes,
            .idleTimeout = settings_.listen.idleTimeout,
            .requestTimeout = settings_.listen.headerTimeout};
}

proxy::asio::awaitable<void> Daemon::answerCaller(std::shared_ptr<proxy::CallerExchange> exchange)
{
    const auto target = exchange->request.target();
    const std::string_view path(target.data(), std::min(target.find('?'), target.size()));
    try {
        if (path == entryPath)
            setResponse(answerEntryRequest(takeRequest(*exchange)), *exchange);
        else
            co_await pipeline_.serve(exchange);
    } catch (const std::exception &error) {
        // Refusals have been answered already. Any other exception must not leave the caller
        // without a response.
        core::logEvent(core::LogLevel::Error, "request_failed", {{"reason", error.what()}});
        setResponse({.status = internalErrorStatus, .closeConnection = true}, *exchange);
    }
}

http::ServerResponse Daemon::answerEntryRequest(const http::ServerRequest &request)
{
    const bool keysUsable = config_.keysUsable(core::MonoClock::now());
    core::VmList vms = *vmList();
    // The VM list of the platform may not show yet that this VM is leaving.
    for (core::EntryVm &vm : vms.entryVms) {
        if (vm.id == settings_.vm.id && lifecycle_.phase() != core::Phase::Serving)
            vm.state = core::VmState::Leaving;
    }
    try {
        return answerEntry(request, config_.current().get(), keysUsable, vms,
                           [this](const auto &account) { return limits_.homesOf(account); });
    } catch (const RequestRefused &refused) {
        return refuse(refused.refusal(), refused.what());
    }
}

http::ServerResponse Daemon::answerReadError(bool bodyTooLarge)
{
    return bodyTooLarge ? refuse(table::Refusal::BodyTooLarge, "body")
                        : refuse(table::Refusal::MalformedRequest, "unreadable");
}

/** Records and builds the refusal of a request that does not pass through the pipeline. */
http::ServerResponse Daemon::refuse(table::Refusal refusal, const std::string &reason)
{
    const core::RequestId id = makeRequestId();
    const table::RefusalRow &row = table::refusalRow(refusal);
    observer_.recordRequest(
        {.id = id, .status = row.status, .outcome = std::string(row.code), .reason = reason});
    return makeRefusal(refusal, id);
}

std::shared_ptr<const core::VmList> Daemon::vmList() const
{
    const std::lock_guard lock(vmListMutex_);
    return vmList_;
}

} // namespace teaselreach::daemon
