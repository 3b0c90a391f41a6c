/** @file soak_site_base.h Test environment: store, upstreams, daemons, callers and faults. */
#pragma once

#include "daemon_process_base.h"
#include "ledger_base.h"
#include "platform_store_base.h"
#include "proxy/http_connection_base.h"
#include "soak_upstream_base.h"
#include "standins/relay_base.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace teaselreach::soak {

/** Size and duration of a run. */
struct SoakOptions
{
    std::string program; ///< Path of the daemon.
    std::string folder;  ///< For settings and logs.
    std::uint64_t seed = 1;
    core::Seconds length {20};
    int daemons = 6;
    int upstreams = 6;
    double requestsPerSecond = 90;
};

/** Runs daemons as processes under random load and faults, and checks what callers see. */
class SoakSite
{
public:
    /** Starts the store, the upstreams and the daemons. */
    explicit SoakSite(SoakOptions options);
    ~SoakSite();
    SoakSite(const SoakSite &) = delete;
    SoakSite &operator=(const SoakSite &) = delete;

    /** Runs load and faults to the end. @return The ledger with all violations. */
    const Ledger &run();
    /** @return One line for each fault or configuration change, in order. */
    const std::vector<std::string> &timeline() const { return timeline_; }

private:
    /** A daemon, the relay between it and the store, and what is known of the daemon. */
    struct Vm
    {
        std::unique_ptr<standins::Relay> storePath;
        std::unique_ptr<DaemonProcess> process;
        std::uint16_t callerPort = 0;
        std::uint16_t directoryPort = 0;
        core::MonoTime lastFaultAt {};        ///< Last fault that may affect it.
        core::MonoTime lastOwnFaultAt {};     ///< The same without faults of the store.
        core::MonoTime terminatedAt {};       ///< Last SIGTERM.
        std::int64_t newestServedVersion = 0; ///< Newest version served since its start.
        int newestServedStart = 0;            ///< Start count to which newestServedVersion belongs.
        std::size_t settledVersion = 0; ///< Version that it must have applied since its start.
        int settledStart = 0;           ///< Start count to which settledVersion belongs.
    };

    void writeSettings(int index, Vm &vm, std::uint16_t storePort);
    void writeConfiguration();
    bool isSettled(const Vm &vm, core::MonoTime now) const;
    std::size_t oldestVersion(Vm &vm, core::MonoTime now) const;
    void recordSent(const std::string &id, const std::string &key, bool idempotent, Vm &vm,
                    const std::string &route = "");
    void recordDemand(const Vm &vm);
    void recordFault(Vm &vm);
    proxy::asio::awaitable<void> evacuateRepeatedly(std::string zone);
    void writeUpstream(std::size_t index, bool draining);
    proxy::asio::awaitable<void> sleepFor(core::Micros time);
    proxy::asio::awaitable<void> expireStoreLeases();
    proxy::asio::awaitable<void> injectFaults();
    proxy::asio::awaitable<void> generateRequests();
    proxy::asio::awaitable<void> sendOneRequest(std::uint64_t number);
    proxy::asio::awaitable<void> probeVersions();
    proxy::asio::awaitable<void> probeWithdrawnKey(Vm &vm, std::int64_t version);
    proxy::asio::awaitable<std::uint16_t> resolveDaemonPort();
    proxy::asio::awaitable<proxy::ExchangeResult>
    sendRequest(std::uint16_t port, const std::string &method, const std::string &path,
                const std::string &id, const std::string &key);
    proxy::asio::awaitable<void> injectDaemonFault();
    proxy::asio::awaitable<void> injectStoreFault();
    proxy::asio::awaitable<void> restoreStore();
    proxy::asio::awaitable<void> injectUpstreamFault();
    proxy::asio::awaitable<void> cutUpstreamPath(std::size_t index);
    proxy::asio::awaitable<void> replaceUpstream(std::size_t index);
    proxy::asio::awaitable<void> renewColdEntry(std::size_t index);
    void recordEvent(const std::string &line);
    void recordFaultForAll();

    SoakOptions options_;
    proxy::asio::io_context context_ {1};
    std::mt19937_64 random_;
    Ledger ledger_;
    std::uint16_t storePort_;
    PlatformStore store_;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams_;
    std::vector<std::uint16_t> upstreamPorts_; ///< Of the relays before them.
    std::vector<std::unique_ptr<standins::Relay>> upstreamPaths_;
    proxy::ConnectionPool callerConnections_ {context_};
    std::vector<Vm> vms_;
    std::vector<SoakAccount> accounts_;
    std::int64_t version_ = 0;
    std::int64_t entrySequence_ = 0; ///< Of the last entry of an upstream.
    std::uint64_t lastKeyProbe_ = 0;
    std::vector<core::MonoTime> versionTimes_; ///< When the store accepted versions 1, 2, ...
    core::MonoTime storeFaultAt_ {};           ///< Start or end of the last fault of the store.
    core::MonoTime end_ {};
    std::vector<std::string> timeline_;
};

} // namespace teaselreach::soak
