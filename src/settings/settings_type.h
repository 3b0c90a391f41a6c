/** @file settings_type.h The settings of the daemon, checked and with units. */
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

/** Exit code of a program whose settings are wrong (EX_CONFIG of sysexits.h). */
inline constexpr int settingsErrorExitCode = 78;

/** A settings file that cannot be used. */
class SettingsError : public core::Error
{
public:
    /**
     * @param file The settings file.
     * @param line Line number, counted from 1; 0 if the error concerns the whole file.
     * @param problem What is wrong and what would be right.
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

/** An address and port of a platform service. */
struct ServiceEndpoint
{
    std::string address; ///< IPv4 number.
    std::uint16_t port = 0;

    bool operator==(const ServiceEndpoint &) const = default;
};

/** The VM that the daemon runs on. */
struct VmSettings
{
    core::VmId id;
    std::string address; ///< IPv4 number that both servers listen on.
    core::Location location;
};

/** The daemon's servers. */
struct ListenSettings
{
    std::uint16_t callerPort = 0;
    std::uint16_t controlPort = 0;
    std::size_t maxBodyBytes = 1'048'576;
    core::Seconds idleTimeout {60};     ///< Of a connection without any transfer.
    core::Millis headerTimeout {10000}; ///< From the first byte of a request to its last.
};

/** The key-value service. */
struct StoreSettings
{
    std::vector<ServiceEndpoint> endpoints;
    core::Millis timeout {1000};
    /** Longest time one watch call stays pending; under config::SpreadOptions::pollAfter, so that
     * the other VMs hear of the contact before they read the store themselves. */
    core::Millis watchTimeout {5000};
};

/** The platform's list of VMs. */
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
    core::Seconds idleConnectionTimeout {30}; ///< Older idle connections are not used again.
    int maxIdleConnections = 8;               ///< Kept for each upstream.
};

/** Rate limits of client accounts. */
struct LimitsSettings
{
    core::Millis maxWait {400}; ///< Longest wait for a token.
};

/** When keys count as too old to be trusted. */
struct KeysSettings
{
    core::Seconds maxStaleness {300};  ///< Without any update; 0 means no bound.
    core::Seconds maxStoreSilence {0}; ///< Without contact to the store; 0 means no bound.
};

/** Graceful shutdown. */
struct ShutdownSettings
{
    core::Seconds entryHold {35}; ///< Time for callers to stop using this VM.
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
