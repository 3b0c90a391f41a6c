/** @file soak_site.cpp Test environment: store, upstreams, daemons, callers and faults. */
#include "platform/names_type.h"
#include "proxy/exchange_func.h"
#include "soak_site_base.h"
#include "standins/free_port.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace teaselreach::soak {

using nlohmann::json;
using proxy::ExchangeFailure;
using proxy::ExchangeResult;

namespace {

const std::string loopback = soakAddress();
/** Time for the daemons to start and register before the first request. */
constexpr core::Seconds startupTime {4};
/** Time without faults after which a daemon must meet the configuration bound. */
constexpr core::Seconds settleTime {5};
/** The same after a fault of the store alone: the time after which the users count a VM as
 * connected again, and a margin for slow processes. */
constexpr core::Millis storeSettleTime {3000 + 500};
/** Time within which a daemon must apply a version: 2500 ms and a margin for slow processes. */
constexpr core::Millis configurationBound {2500 + 500};
/** Interval at which an upstream renews its entry while it is cold. */
constexpr core::Millis entryInterval {1500};
/** Longest time after which an impatient caller disconnects, in milliseconds. */
constexpr std::uint64_t longestPatienceMs = 400;
/** Longest body of a request in bytes; daemons accept 100,000. */
constexpr std::uint64_t longestBody = 90000;
/** Time that a caller waits for a response. */
constexpr core::Seconds callerTimeout {3};
/** Time after the last request in which the outstanding responses arrive. */
constexpr core::Seconds completionTime {4};
/** Calm before an evacuation and length of one, in milliseconds. Some end before the bound of the
 * check, and some calms are longer than that of the failback. */
constexpr std::uint64_t longestCalmMs = 30000;
constexpr std::uint64_t longestEvacuationMs = 12000;
/** Longest age of a copy of the store, beyond one second, and longest time until operators and
 * upstreams have written again what it lacks, in milliseconds. */
constexpr std::uint64_t longestCopyAgeMs = 8000;
constexpr std::uint64_t longestRewriteMs = 1500;
/** The first two zones share a region, so that requests with home regions have other upstreams
 * there while one of the zones is evacuated. */
const std::array<SoakZone, 3> zones {{{"z0", "r0"}, {"z1", "r0"}, {"z2", "r1"}}};
/** Name of the routes with home regions in HomeRegions; they start with "/home-". */
const std::string homeRoute = "home";
/** Number of an account with home regions. */
constexpr std::size_t homeAccount = 2;

/** @return A key that an account has in one version of the configuration only. */
std::string versionKey(const std::string &account, std::int64_t version)
{
    return "key-" + account + "-" + std::to_string(version);
}

proxy::asio::awaitable<void> stopLoopAfter(proxy::asio::io_context &context, core::Micros after)
{
    proxy::asio::steady_timer timer(context, after);
    proxy::ErrorCode ignored; // Nothing cancels the timer.
    co_await timer.async_wait(proxy::captureError(ignored));
    context.stop();
}

} // namespace

SoakSite::SoakSite(SoakOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , storePort_(standins::freePort(loopback))
    , store_(context_, storePort_)
    , accounts_ {{"bakery", "key-bakery", 90, 90},
                 {"clinic", "key-clinic", 5, 5},
                 {"notary", "key-notary", 40, 40}}
{
    for (const SoakAccount &account : accounts_)
        ledger_.configured(account);
    for (int i = 0; i < options_.upstreams; ++i) {
        const std::uint16_t port = standins::freePort(loopback);
        upstreams_.push_back(std::make_unique<SoakUpstream>(
            context_, "i-" + std::to_string(i), zones[i % zones.size()], port, ledger_, random_()));
        upstreamPorts_.push_back(standins::freePort(loopback));
        upstreamPaths_.push_back(std::make_unique<standins::Relay>(
            standins::ListenOptions {.address = loopback, .port = upstreamPorts_.back()},
            standins::ListenOptions {.address = loopback, .port = port}));
        writeUpstream(upstreams_.size() - 1, false);
    }
    writeConfiguration();
    for (int i = 0; i < options_.daemons; ++i) {
        Vm &vm = vms_.emplace_back();
        const std::uint16_t path = standins::freePort(loopback);
        vm.storePath = std::make_unique<standins::Relay>(
            standins::ListenOptions {.address = loopback, .port = path},
            standins::ListenOptions {.address = loopback, .port = storePort_});
        writeSettings(i, vm, path);
        vm.process->start();
    }
}

SoakSite::~SoakSite() = default;

void SoakSite::writeSettings(int index, Vm &vm, std::uint16_t storePort)
{
    const std::string name = "vm-" + std::to_string(index);
    const SoakZone &zone = zones[index % zones.size()];
    json regionOfZone;
    for (const SoakZone &entry : zones)
        regionOfZone[entry.name] = entry.region;
    vm.callerPort = standins::freePort(loopback);
    vm.directoryPort = standins::freePort(loopback);
    const auto address = [](std::uint16_t port) { return loopback + ":" + std::to_string(port); };
    const json settings {{"nodeName", name},
                         {"ip", loopback},
                         {"zone", zone.name},
                         {"region", zone.region},
                         {"zones", regionOfZone},
                         {"listen",
                          {{"front", address(vm.callerPort)},
                           {"readiness", address(standins::freePort(loopback))},
                           {"directory", address(vm.directoryPort)}}},
                         {"internalPorts", {standins::freePort(loopback)}},
                         {"bootstrap", false},
                         {"limits", {{"cpuShare", 0.2}, {"cores", 1}, {"linkMbps", 1000}}},
                         {"bounds",
                          {"grace=6s", "retryBudgetRatio=0.2", "budgetWindow=10s", "retrySlack=60",
                           "quotaWindow=5s", "quotaOverrun=0.1", "quotaSlack=20"}},
                         {"platform", {{"address", address(storePort)}}}};
    const std::string path = options_.folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump();
    vm.process = std::make_unique<DaemonProcess>(options_.program, path,
                                                 options_.folder + "/" + name + ".log");
}

void SoakSite::writeConfiguration()
{
    ++version_;
    versionTimes_.push_back(core::MonoClock::now());
    HomeRegions homes;
    for (const std::string &name : {homeRoute, accounts_[homeAccount].name}) {
        const std::size_t draw = random_() % zones.size();
        if (draw > 0)
            homes[name] = zones[draw].region; // The regions are those of the last two zones.
    }
    const auto allowedRegions = [&](const std::string &name) {
        return homes.contains(name) ? json {homes[name]} : json::array();
    };
    json routes = json::array();
    const auto addRoute = [&](const std::string &prefix, const char *kind) {
        routes.push_back(
            {{"name", "r" + prefix},
             {"host", "soak.example"},
             {"prefix", prefix},
             {"kind", kind},
             {"timeout", "1500ms"},
             {"targetLatency", "500ms"},
             {"maxAttempts", 2},
             {"allowedRegions", allowedRegions(prefix.starts_with("/home-") ? homeRoute : "")},
             {"service", "work"}});
    };
    addRoute("/read/", "idempotent");
    addRoute("/book/", "non_idempotent");
    addRoute("/home-read/", "idempotent");
    addRoute("/home-book/", "non_idempotent");
    // Each version adds a route, so that a request shows whether a daemon has applied the version.
    for (std::int64_t version = 1; version <= version_; ++version)
        addRoute("/version-" + std::to_string(version) + "/", "idempotent");
    json tenants = json::array();
    for (const SoakAccount &account : accounts_)
        tenants.push_back({{"name", account.name},
                           {"apiKeys", {account.key, versionKey(account.name, version_)}},
                           {"ratePerS", account.ratePerSecond},
                           {"burst", account.burst},
                           {"allowedRegions", allowedRegions(account.name)}});
    ledger_.configuredHomes(std::move(homes));
    store_.put(
        "op/config",
        json {{"version", version_},
              {"routes", routes},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 100000},
                {"headerTimeout", "3s"},
                {"idleTimeout", "15s"}}},
              {"tenants", tenants},
              {"services", {{{"name", "work"}, {"warmup", "6s"}, {"coldPerS", coldPerSecond}}}}}
            .dump());
}

void SoakSite::writeUpstream(std::size_t index, bool draining)
{
    const std::uint16_t port = upstreamPorts_[index];
    const core::Micros warmupLeft = upstreams_[index]->warmupLeft(core::MonoClock::now());
    store_.put("servers/" + upstreams_[index]->id(),
               json {{"service", "work"},
                     {"address", loopback + ":" + std::to_string(port)},
                     {"zone", upstreams_[index]->zone().name},
                     {"slots", 4},
                     {"state", draining ? "draining" : "ready"},
                     {"warmupLeft",
                      std::to_string(std::chrono::ceil<core::Millis>(warmupLeft).count()) + "ms"},
                     {"born", upstreams_[index]->bornAt()},
                     {"sequence", ++entrySequence_}}
                   .dump());
}

proxy::asio::awaitable<void> SoakSite::sleepFor(core::Micros time)
{
    proxy::asio::steady_timer timer(context_, time);
    proxy::ErrorCode ignored; // Nothing cancels the timer.
    co_await timer.async_wait(proxy::captureError(ignored));
}

void SoakSite::recordEvent(const std::string &line)
{
    const auto since =
        std::chrono::duration_cast<core::Millis>(core::MonoClock::now() - (end_ - options_.length));
    timeline_.push_back(std::to_string(since.count()) + " ms: " + line);
}

void SoakSite::recordFaultForAll()
{
    const core::MonoTime now = core::MonoClock::now();
    storeFaultAt_ = now;
    for (Vm &vm : vms_)
        recordFault(vm);
    for (const auto &upstream : upstreams_)
        upstream->restartDrainTimer(now);
}

/** Records a fault of a daemon, or its end, for the checks that it excuses. */
void SoakSite::recordFault(Vm &vm)
{
    vm.lastFaultAt = core::MonoClock::now();
    ledger_.daemonFault(vm.lastFaultAt, static_cast<int>(&vm - vms_.data()));
}

/** @return Whether a daemon and the store have had no fault for so long that the daemon must know
 * what the store holds. */
bool SoakSite::isSettled(const Vm &vm, core::MonoTime now) const
{
    return now - vm.lastOwnFaultAt > settleTime && now - storeFaultAt_ > storeSettleTime;
}

/** @return The oldest version of the configuration, from 0, that a daemon may apply to a request
 * that it gets now. */
std::size_t SoakSite::oldestVersion(Vm &vm, core::MonoTime now) const
{
    if (std::exchange(vm.settledStart, vm.process->starts()) != vm.settledStart)
        vm.settledVersion = 0;
    const auto inForce =
        std::count_if(versionTimes_.begin(), versionTimes_.end(), [&](core::MonoTime acceptedAt) {
            return now - acceptedAt > configurationBound;
        });
    if (isSettled(vm, now) && inForce > 0)
        vm.settledVersion = static_cast<std::size_t>(inForce) - 1;
    return vm.settledVersion;
}

/** Records that a caller is about to send a request to a daemon. */
void SoakSite::recordSent(const std::string &id, const std::string &key, bool idempotent, Vm &vm,
                          const std::string &route)
{
    ledger_.sent(id, key, idempotent);
    ledger_.sentTo(id,
                   {.daemon = static_cast<int>(&vm - vms_.data()),
                    .route = route,
                    .oldestVersion = oldestVersion(vm, core::MonoClock::now())});
}

/** Records a request that may run anywhere as demand in the zone of its daemon, if the daemon is in
 * contact and an upstream there accepts requests. */
void SoakSite::recordDemand(const Vm &vm)
{
    const std::string &zone = zones[(&vm - vms_.data()) % zones.size()].name;
    const bool hasUpstream =
        std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto &upstream) {
            return upstream->zone().name == zone && !upstream->isDraining();
        });
    const core::MonoTime now = core::MonoClock::now();
    if (hasUpstream && isSettled(vm, now))
        ledger_.demanded(now, zone);
}

/** Evacuates a zone for a while, again and again. */
proxy::asio::awaitable<void> SoakSite::evacuateRepeatedly(std::string zone)
{
    co_await sleepFor(startupTime);
    const std::string key = std::string(platform::evacuationPrefix) + zone;
    while (true) {
        co_await sleepFor(core::Millis(random_() % longestCalmMs));
        recordEvent(zone + " is evacuated");
        store_.put(key, "{}");
        ledger_.evacuated(core::MonoClock::now(), zone);
        co_await sleepFor(core::Millis(random_() % longestEvacuationMs));
        recordEvent(zone + " is no longer evacuated");
        store_.remove(key);
        ledger_.evacuationEnded(core::MonoClock::now(), zone);
    }
}

const Ledger &SoakSite::run()
{
    end_ = core::MonoClock::now() + startupTime + options_.length;
    const auto spawn = [this](auto work) {
        proxy::asio::co_spawn(context_, std::move(work), proxy::asio::detached);
    };
    spawn(expireStoreLeases());
    spawn(generateRequests());
    spawn(probeVersions());
    spawn(injectFaults());
    for (const SoakZone &zone : zones)
        spawn(evacuateRepeatedly(zone.name));
    spawn(stopLoopAfter(context_, startupTime + options_.length + completionTime));
    context_.run();
    for (Vm &vm : vms_) {
        vm.process->running();
        if (vm.process->crashed())
            ledger_.broken("crash", "a daemon ended by itself");
    }
    ledger_.runFinalChecks();
    return ledger_;
}

proxy::asio::awaitable<void> SoakSite::expireStoreLeases()
{
    while (true) {
        co_await sleepFor(core::Millis(20));
        store_.expireLeases(core::MonoClock::now());
    }
}

proxy::asio::awaitable<ExchangeResult>
SoakSite::sendRequest(std::uint16_t port, const std::string &method, const std::string &path,
                      const std::string &id, const std::string &key)
{
    const proxy::HeaderNames names = platform::headerNames();
    proxy::HttpRequest request;
    request.version(11);
    request.method_string(method);
    request.target(path);
    request.set(proxy::beasthttp::field::host, "soak.example");
    request.set(names.attemptId, id);
    request.set(names.deadlineMs, "2000");
    if (!key.empty())
        request.set(proxy::beasthttp::field::authorization, names.keyScheme + " " + key);
    if (method == "POST")
        request.body() = std::string(random_() % 10 == 0 ? random_() % longestBody : 1, 'x');
    request.prepare_payload();
    const core::MonoTime now = core::MonoClock::now();
    const proxy::ExchangeOptions times {.deadline = now + callerTimeout};
    const auto canceller = std::make_shared<proxy::ExchangeCanceller>();
    const proxy::ResponseFilter all;
    const http::Target target {.address = loopback, .port = port};
    std::unique_ptr<proxy::HttpConnection> connection = random_() % 2 == 0
        ? callerConnections_.open(target)
        : callerConnections_.acquire(now, target, core::Micros::max());
    proxy::asio::steady_timer disconnect(context_);
    if (random_() % 10 == 0) {
        disconnect.expires_after(core::Millis(random_() % longestPatienceMs));
        disconnect.async_wait([canceller](proxy::ErrorCode error) {
            if (!error)
                canceller->cancel();
        });
    }
    ExchangeResult result = co_await connection->exchange(request, times, canceller, all);
    callerConnections_.release(core::MonoClock::now(), std::move(connection));
    co_return result;
}

proxy::asio::awaitable<std::uint16_t> SoakSite::resolveDaemonPort()
{
    const Vm &vm = vms_[random_() % vms_.size()];
    const SoakZone &zone = zones[random_() % zones.size()];
    const ExchangeResult result = co_await sendRequest(
        vm.directoryPort, "GET", "/resolve?region=" + zone.region + "&zone=" + zone.name, "", "");
    if (result.failure != ExchangeFailure::None || result.response.result_int() != 200)
        co_return 0;
    const json answer = json::parse(result.response.body());
    const auto &addresses = answer.at("addresses");
    co_return proxy::parseTarget(addresses.at(random_() % addresses.size()).get<std::string>())
        .port;
}

proxy::asio::awaitable<void> SoakSite::generateRequests()
{
    co_await sleepFor(startupTime);
    std::exponential_distribution<double> gap(options_.requestsPerSecond);
    for (std::uint64_t number = 0; core::MonoClock::now() < end_; ++number) {
        proxy::asio::co_spawn(context_, sendOneRequest(number), proxy::asio::detached);
        co_await sleepFor(
            std::chrono::duration_cast<core::Micros>(std::chrono::duration<double>(gap(random_))));
    }
}

proxy::asio::awaitable<void> SoakSite::sendOneRequest(std::uint64_t number)
{
    const std::uint16_t port = co_await resolveDaemonPort();
    const auto vm = std::find_if(vms_.begin(), vms_.end(),
                                 [&](const Vm &entry) { return entry.callerPort == port; });
    if (vm == vms_.end())
        co_return;
    const bool idempotent = number % 3 == 0;
    const std::size_t payer = number % 6 == 5 ? 1 : number % 6 == 2 ? homeAccount : 0;
    const SoakAccount &account = accounts_[payer];
    const bool hasHome = number / 6 % 3 == 0;
    const std::string id = "a" + std::to_string(number);
    recordSent(id, account.key, idempotent, *vm, hasHome ? homeRoute : "");
    if (!hasHome && payer == 0)
        recordDemand(*vm);
    const core::MonoTime startedAt = core::MonoClock::now();
    const ExchangeResult result = co_await sendRequest(port, idempotent ? "GET" : "POST",
                                                       std::string(hasHome ? "/home-" : "/")
                                                           + (idempotent ? "read/x" : "book/x"),
                                                       id, account.key);
    if (result.failure == ExchangeFailure::None) {
        ledger_.answered(id, static_cast<int>(result.response.result_int()), result.response.body(),
                         result.response.count(platform::headerNames().seal) > 0);
        co_return;
    }
    // A closed connection counts only if the last fault of the daemon was a recent SIGTERM.
    const bool onlyTerminated = vm->terminatedAt == vm->lastFaultAt
        && vm->terminatedAt + core::Seconds(3) > startedAt && vm->terminatedAt != core::MonoTime();
    if (result.failure == ExchangeFailure::Broken && onlyTerminated)
        ledger_.closedByShutdown(id);
}

proxy::asio::awaitable<void> SoakSite::probeVersions()
{
    co_await sleepFor(startupTime + core::Seconds(2));
    std::uint64_t number = 0;
    while (core::MonoClock::now() < end_) {
        co_await sleepFor(core::Millis(60));
        Vm &vm = vms_[number % vms_.size()];
        const std::int64_t version = version_;
        const core::MonoTime writtenAt = versionTimes_.back();
        const core::MonoTime askedAt = core::MonoClock::now();
        const int start = vm.process->starts();
        const std::string id = "p" + std::to_string(number++);
        recordSent(id, accounts_.front().key, true, vm);
        const ExchangeResult result =
            co_await sendRequest(vm.callerPort, "GET", "/version-" + std::to_string(version) + "/",
                                 id, accounts_.front().key);
        if (result.failure != ExchangeFailure::None)
            continue;
        const bool unknown = result.response.result_int() == 404;
        const bool refused = result.response.result_int() == 503;
        if (unknown && start == vm.newestServedStart && version <= vm.newestServedVersion)
            ledger_.broken("configuration",
                           "a daemon went back to before version " + std::to_string(version));
        const bool settled = isSettled(vm, askedAt) && askedAt - writtenAt > configurationBound;
        if (unknown && settled)
            ledger_.broken("configuration",
                           "version " + std::to_string(version) + " is not in force in time");
        if (settled)
            co_await probeWithdrawnKey(vm, version - 1);
        if (unknown || refused || start != vm.process->starts())
            continue;
        vm.newestServedVersion =
            start == vm.newestServedStart ? std::max(vm.newestServedVersion, version) : version;
        vm.newestServedStart = start;
    }
}

/** Sends a request with the key of an earlier version to a daemon that must know a later one. */
proxy::asio::awaitable<void> SoakSite::probeWithdrawnKey(Vm &vm, std::int64_t version)
{
    const SoakAccount &account = accounts_.front();
    const std::string id = "w" + std::to_string(lastKeyProbe_++);
    recordSent(id, account.key, true, vm);
    const ExchangeResult result = co_await sendRequest(vm.callerPort, "GET", "/read/x", id,
                                                       versionKey(account.name, version));
    if (result.failure == ExchangeFailure::None && result.response.result_int() == 200)
        ledger_.broken("configuration", id + " ran with a key that was withdrawn");
}

proxy::asio::awaitable<void> SoakSite::injectFaults()
{
    co_await sleepFor(startupTime);
    while (core::MonoClock::now() < end_) {
        co_await sleepFor(core::Millis(300 + random_() % 1500));
        switch (random_() % 6) {
        case 0:
        case 1:
            proxy::asio::co_spawn(context_, injectDaemonFault(), proxy::asio::detached);
            break;
        case 2:
            proxy::asio::co_spawn(context_, injectStoreFault(), proxy::asio::detached);
            break;
        case 3:
        case 4:
            proxy::asio::co_spawn(context_, injectUpstreamFault(), proxy::asio::detached);
            break;
        default:
            writeConfiguration();
            recordEvent("configuration " + std::to_string(version_));
            break;
        }
    }
}

proxy::asio::awaitable<void> SoakSite::injectDaemonFault()
{
    const std::size_t index = random_() % vms_.size();
    Vm &vm = vms_[index];
    const std::uint64_t kind = random_() % 5;
    if (kind == 4) {
        // Reloading the settings must not cost a request, so it excuses nothing.
        recordEvent("vm-" + std::to_string(index) + " reloads its settings");
        vm.process->signal(SIGHUP);
        co_return;
    }
    const core::Millis time(200 + random_() % 2500);
    recordFault(vm);
    vm.lastOwnFaultAt = vm.lastFaultAt;
    if (kind == 2)
        vm.terminatedAt = vm.lastFaultAt;
    constexpr std::array<const char *, 4> names {"killed", "frozen", "terminated",
                                                 "cut off from the store"};
    recordEvent("vm-" + std::to_string(index) + " " + names[kind] + " for "
                + std::to_string(time.count()) + " ms");
    if (kind == 0)
        vm.process->signal(SIGKILL);
    if (kind == 1)
        vm.process->signal(SIGSTOP);
    if (kind == 2)
        vm.process->signal(SIGTERM);
    if (kind == 3)
        vm.storePath->setCuts({.toTarget = random_() % 2 == 0, .toCaller = true});
    co_await sleepFor(kind == 2 ? core::Millis(6500) : time);
    if (kind == 1) {
        vm.process->signal(SIGCONT);
        for (const auto &upstream : upstreams_)
            upstream->excuseColdArrivals(core::MonoClock::now());
    }
    if (kind == 3)
        vm.storePath->setCuts({});
    if (kind != 2) {
        recordFault(vm);
        vm.lastOwnFaultAt = vm.lastFaultAt;
    }
    for (const auto &upstream : upstreams_)
        upstream->restartDrainTimer(core::MonoClock::now());
    vm.process->start();
}

proxy::asio::awaitable<void> SoakSite::injectStoreFault()
{
    const std::uint64_t kind = random_() % 6;
    if (kind == 5)
        co_return co_await restoreStore();
    constexpr std::array<const char *, 5> names {"busy", "slow", "loses answers", "silent",
                                                 "forgets"};
    constexpr std::array<StoreFault, 4> faults {StoreFault::Busy, StoreFault::Slow,
                                                StoreFault::LostResponse, StoreFault::Silent};
    recordEvent(std::string("store ") + names[kind]);
    recordFaultForAll();
    if (kind == faults.size()) {
        store_.compact();
        co_return;
    }
    store_.setFault(faults[kind]);
    co_await sleepFor(core::Millis(300 + random_() % 3000));
    store_.setFault(StoreFault::None);
    recordFaultForAll();
}

/** Takes the store away for a moment and lets it come back from a copy some seconds old. */
proxy::asio::awaitable<void> SoakSite::restoreStore()
{
    const StoreContents copy = store_.contents();
    co_await sleepFor(core::Millis(1000 + random_() % longestCopyAgeMs));
    recordEvent("store away before it comes back from a copy");
    recordFaultForAll();
    store_.setFault(random_() % 2 == 0 ? StoreFault::Silent : StoreFault::Busy);
    co_await sleepFor(core::Millis(100 + random_() % 1500));
    const std::uint64_t lastRevision = store_.contents().revision;
    store_.restore(copy);
    recordEvent("store back from the copy");
    if (random_() % 2 == 0) {
        // The daemons reach it after operators and upstreams have used up the earlier revisions.
        store_.writeAgain();
        writeConfiguration();
        while (store_.contents().revision < lastRevision)
            writeUpstream(0, upstreams_[0]->isDraining());
        for (std::size_t i = 0; i < upstreams_.size(); ++i)
            writeUpstream(i, upstreams_[i]->isDraining());
    }
    store_.setFault(StoreFault::None);
    recordFaultForAll();
    co_await sleepFor(core::Millis(random_() % longestRewriteMs));
    store_.writeAgain();
    recordFaultForAll();
}

proxy::asio::awaitable<void> SoakSite::injectUpstreamFault()
{
    const std::size_t index = random_() % upstreams_.size();
    SoakUpstream &upstream = *upstreams_[index];
    const std::uint64_t kind = random_() % 10;
    if (kind == 0) {
        recordEvent(upstream.id() + " drains");
        writeUpstream(index, true);
        upstream.startDrain(core::MonoClock::now());
        co_return;
    }
    if (kind == 1)
        co_return co_await cutUpstreamPath(index);
    if (kind == 2)
        co_return co_await replaceUpstream(index);
    if (kind == 3) {
        recordEvent(upstream.id() + " becomes cold");
        upstream.becomeCold(core::MonoClock::now());
        co_return co_await renewColdEntry(index);
    }
    const UpstreamBehaviour &fault = upstreamFaults[random_() % upstreamFaults.size()];
    recordEvent(upstream.id() + " " + std::string(fault.name));
    upstream.setFault(&fault);
    co_await sleepFor(core::Millis(500 + random_() % 4000));
    upstream.setFault(nullptr);
}

/** Stops one or both directions between the daemons and an upstream for a while. What was sent
 * meanwhile arrives at the end, also if its sender has given up. */
proxy::asio::awaitable<void> SoakSite::cutUpstreamPath(std::size_t index)
{
    const std::uint64_t kind = random_() % 3;
    recordEvent(upstreams_[index]->id() + " is cut off");
    upstreams_[index]->restartDrainTimer(core::MonoClock::now());
    upstreamPaths_[index]->setCuts({.toTarget = kind != 0, .toCaller = kind != 1});
    co_await sleepFor(core::Millis(100 + random_() % 3000));
    upstreamPaths_[index]->setCuts({});
    upstreams_[index]->restartDrainTimer(core::MonoClock::now());
    upstreams_[index]->excuseColdArrivals(core::MonoClock::now());
    upstreams_[index]->pathHealed(core::MonoClock::now());
}

/** Writes the entry of a cold upstream until it is warm. */
proxy::asio::awaitable<void> SoakSite::renewColdEntry(std::size_t index)
{
    const SoakUpstream &upstream = *upstreams_[index];
    while (upstream.warmupLeft(core::MonoClock::now()) > core::Micros(0)) {
        writeUpstream(index, upstream.isDraining());
        co_await sleepFor(entryInterval);
    }
    writeUpstream(index, upstream.isDraining());
}

/** Starts an upstream again, under the same id or a new one; an earlier id is listed for a while
 * longer. */
proxy::asio::awaitable<void> SoakSite::replaceUpstream(std::size_t index)
{
    const std::string earlier = upstreams_[index]->id();
    const bool keepsId = random_() % 2 == 0;
    upstreams_[index]->restartAs(keepsId ? earlier : earlier + "x");
    upstreams_[index]->becomeCold(core::MonoClock::now());
    proxy::asio::co_spawn(context_, renewColdEntry(index), proxy::asio::detached);
    recordEvent(earlier + " starts again as " + upstreams_[index]->id());
    co_await sleepFor(core::Millis(500 + random_() % 4000));
    if (!keepsId)
        store_.remove("servers/" + earlier);
}

} // namespace teaselreach::soak
