/** @file settings.cpp Reads and validates the daemon's settings. */
#include "settings/settings_func.h"
#include "settings/settings_section_internal.h"

#include <fstream>
#include <sstream>

namespace teaselreach::settings {

namespace {

using detail::Range;
using detail::Section;

constexpr Range portRange {1, 65535};
constexpr Range timeoutMsRange {10, 60'000};
constexpr Range bodyBytesRange {1, 67'108'864};
constexpr Range idleSecondsRange {1, 3600};
constexpr Range stalenessRange {0, 604'800};
// A daemon that receives no updates polls the store every 10 s, so a smaller bound would reject
// keys in normal operation.
constexpr std::int64_t minStalenessSeconds = 11;

core::Millis millisOr(Section &section, const std::string &key, Range range, core::Millis fallback)
{
    return core::Millis(section.readIntegerOr(key, range, fallback.count()));
}

core::Seconds secondsOr(Section &section, const std::string &key, Range range,
                        core::Seconds fallback)
{
    return core::Seconds(section.readIntegerOr(key, range, fallback.count()));
}

VmSettings readVm(Section section)
{
    VmSettings vm;
    vm.id = core::VmId(section.readString("id"));
    vm.address = section.readAddress("address");
    vm.location.availabilityZone =
        core::AvailabilityZoneId(section.readString("availability_zone"));
    vm.location.region = core::RegionId(section.readString("region"));
    section.rejectUnknownKeys();
    return vm;
}

ListenSettings readListen(Section section)
{
    ListenSettings listen;
    listen.callerPort = static_cast<std::uint16_t>(section.readInteger("caller_port", portRange));
    listen.controlPort = static_cast<std::uint16_t>(section.readInteger("control_port", portRange));
    listen.maxBodyBytes = static_cast<std::size_t>(section.readIntegerOr(
        "max_body_bytes", bodyBytesRange, static_cast<std::int64_t>(listen.maxBodyBytes)));
    listen.idleTimeout = secondsOr(section, "idle_timeout_s", idleSecondsRange, listen.idleTimeout);
    listen.headerTimeout =
        millisOr(section, "header_timeout_ms", timeoutMsRange, listen.headerTimeout);
    section.rejectUnknownKeys();
    if (listen.callerPort == listen.controlPort)
        section.fail("control_port", "must differ from listen.caller_port");
    if (listen.headerTimeout > listen.idleTimeout)
        section.fail("header_timeout_ms", "must not exceed listen.idle_timeout_s");
    return listen;
}

StoreSettings readStore(Section section)
{
    StoreSettings store;
    store.endpoints = section.readEndpoints("endpoints");
    store.timeout = millisOr(section, "timeout_ms", timeoutMsRange, store.timeout);
    store.watchTimeout = millisOr(section, "watch_ms", timeoutMsRange, store.watchTimeout);
    section.rejectUnknownKeys();
    if (store.watchTimeout < store.timeout)
        section.fail("watch_ms", "must be at least store.timeout_ms");
    return store;
}

VmListSettings readVmList(Section section)
{
    VmListSettings vmList;
    vmList.endpoint = section.readEndpoint("endpoint");
    vmList.pollInterval =
        millisOr(section, "poll_interval_ms", timeoutMsRange, vmList.pollInterval);
    vmList.timeout = millisOr(section, "timeout_ms", timeoutMsRange, vmList.timeout);
    section.rejectUnknownKeys();
    return vmList;
}

UpstreamSettings readUpstream(Section section)
{
    UpstreamSettings upstream;
    upstream.connectTimeout =
        millisOr(section, "connect_timeout_ms", timeoutMsRange, upstream.connectTimeout);
    upstream.idleConnectionTimeout =
        secondsOr(section, "idle_connection_s", idleSecondsRange, upstream.idleConnectionTimeout);
    upstream.maxIdleConnections = static_cast<int>(
        section.readIntegerOr("max_idle_connections", {0, 350}, upstream.maxIdleConnections));
    upstream.hedgePercent =
        section.readNumberOr("hedge_percent", 0, maxHedgePercent, upstream.hedgePercent);
    section.rejectUnknownKeys();
    return upstream;
}

LimitsSettings readLimits(Section section)
{
    LimitsSettings limits;
    limits.maxWait = millisOr(section, "max_wait_ms", {0, 10'000}, limits.maxWait);
    section.rejectUnknownKeys();
    return limits;
}

KeysSettings readKeys(Section section)
{
    KeysSettings keys;
    keys.maxStaleness = secondsOr(section, "max_staleness_s", stalenessRange, keys.maxStaleness);
    keys.maxStoreSilence =
        secondsOr(section, "max_store_silence_s", stalenessRange, keys.maxStoreSilence);
    section.rejectUnknownKeys();
    const std::string bound =
        "must be 0 (no bound) or at least " + std::to_string(minStalenessSeconds);
    if (keys.maxStaleness.count() > 0 && keys.maxStaleness.count() < minStalenessSeconds)
        section.fail("max_staleness_s", bound);
    if (keys.maxStoreSilence.count() > 0 && keys.maxStoreSilence.count() < minStalenessSeconds)
        section.fail("max_store_silence_s", bound);
    return keys;
}

ShutdownSettings readShutdown(Section section)
{
    ShutdownSettings shutdown;
    shutdown.entryHold = secondsOr(section, "entry_hold_s", {0, 3600}, shutdown.entryHold);
    section.rejectUnknownKeys();
    return shutdown;
}

core::LogLevel readLogLevel(Section section)
{
    const std::string level = section.readStringOr("level", "info");
    section.rejectUnknownKeys();
    if (level == "debug")
        return core::LogLevel::Debug;
    if (level == "info")
        return core::LogLevel::Info;
    if (level == "warn")
        return core::LogLevel::Warn;
    if (level == "error")
        return core::LogLevel::Error;
    section.fail("level", "'" + level + "' must be debug, info, warn or error");
}

Settings readSettings(const std::string &file, const YAML::Node &document)
{
    Section root(file, "", document, 1);
    const auto subsection = [&root](const char *key) { return root.readSection(key); };
    const Section vm = subsection("vm");
    const Section listen = subsection("listen");
    const Section store = subsection("store");
    const Section vmList = subsection("vm_list");
    const Section upstream = subsection("upstream");
    const Section limits = subsection("limits");
    const Section keys = subsection("keys");
    const Section shutdown = subsection("shutdown");
    const Section log = subsection("log");
    root.rejectUnknownKeys();
    return {.vm = readVm(vm),
            .listen = readListen(listen),
            .store = readStore(store),
            .vmList = readVmList(vmList),
            .upstream = readUpstream(upstream),
            .limits = readLimits(limits),
            .keys = readKeys(keys),
            .shutdown = readShutdown(shutdown),
            .logLevel = readLogLevel(log)};
}

} // namespace

Settings parseSettings(const std::string &text, const std::string &file)
{
    try {
        return readSettings(file, YAML::Load(text));
    } catch (const YAML::Exception &error) {
        throw SettingsError(file, error.mark.line + 1, "not valid YAML: " + error.msg);
    }
}

Settings loadSettings(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        throw SettingsError(path, 0, "the file cannot be opened");
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace teaselreach::settings
