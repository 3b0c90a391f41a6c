/** @file settings_type.h The validated settings of the daemon, with units. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "core/log_func.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselreach::settings {

/** Largest UpstreamSettings::hedgePercent. */
inline constexpr double maxHedgePercent = 20;
/** Exit code of a program with invalid settings (EX_CONFIG of sysexits.h). */
inline constexpr int settingsErrorExitCode = 78;

/** A settings file that cannot be read or is invalid. */
class SettingsError : public core::Error
{
public:
    /**
     * @param file The settings file.
     * @param line Line number, counted from 1; 0 if the error concerns the whole file.
     * @param problem What was found and what is expected.
     */
    SettingsError(const std::string &file, int line, const std::string &problem)
        : Error("settings_invalid", file + ":" + std::to_string(line) + ": " + problem)
        , line_(line)
    { }

    /** @return Line number, counted from 1. */
    int line() const { return line_; }

private:
    int line_;
};

/** Address and port of a platform service. */
struct ServiceEndpoint
{
    std::string address; ///< IPv4 address.
    std::uint16_t port = 0;

    bool operator==(const ServiceEndpoint &) const = default;
};

/** The VM that the daemon runs on. */
struct VmSettings
{
    core::VmId id;
    std::string address; ///< IPv4 address that both servers listen on.
    core::Location location;
};

/** Listening ports and request limits of the daemon's servers. */
struct ListenSettings
{
    std::uint16_t callerPort = 0;
    std::uint16_t controlPort = 0;
    std::size_t maxBodyBytes = 1'048'576;
    core::Seconds idleTimeout {60};     ///< Longest time of a connection without any transfer.
    core::Millis headerTimeout {10000}; ///< From the first to the last byte of a request.
};

/** Access to the key-value store. */
struct StoreSettings
{
    std::vector<ServiceEndpoint> endpoints;
    core::Millis timeout {1000};
    /** Longest time that a watch call stays pending. Below config::SpreadOptions::pollAfter, so
     * that the other VMs learn of the store contact before they poll the store themselves. */
    core::Millis watchTimeout {5000};
};

/** Access to the platform's list of VMs. */
struct VmListSettings
{
    ServiceEndpoint endpoint;
    core::Millis pollInterval {1000};
    core::Millis timeout {1000};
};

/** Connections to upstreams. */
struct UpstreamSettings
{
    core::Millis connectTimeout {500};
    core::Seconds idleConnectionTimeout {30}; ///< Longer idle connections are not reused.
    int maxIdleConnections = 8;               ///< Per upstream.
    /** Largest number of hedges per 100 requests of a service in 10 s over all VMs, 0 to
     * maxHedgePercent; 0 disables hedging. */
    double hedgePercent = 0;
};

/** Rate limits of client accounts. */
struct LimitsSettings
{
    core::Millis maxWait {400}; ///< Longest wait for a token.
};

/** Bounds on the age of key data; beyond them, requests that present a key are refused. */
struct KeysSettings
{
    core::Seconds maxStaleness {300};  ///< Longest time without an update; 0 means no bound.
    core::Seconds maxStoreSilence {0}; ///< Longest time without store contact; 0 means no bound.
};

/** Graceful shutdown. */
struct ShutdownSettings
{
    core::Seconds entryHold {35}; ///< Drain time in which callers move to other VMs.
};

/** All settings of the daemon. */
struct Settings
{
    VmSettings vm;
    ListenSettings listen;
    StoreSettings store;
    VmListSettings vmList;
    UpstreamSettings upstream;
    LimitsSettings limits;
    KeysSettings keys;
    ShutdownSettings shutdown;
    core::LogLevel logLevel = core::LogLevel::Info;
};

} // namespace teaselreach::settings
