/** @file daemon_process_base.h Runs one daemon as a child process. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace teaselreach::soak {

/**
 * @return The loopback address at which this process listens, derived from its process id. Soaks
 * that run at the same time therefore use different addresses. Outgoing connections come from
 * 127.0.0.1 and use none of its ports.
 */
std::string soakAddress();

/** Starts, signals and ends one daemon. Signals go only to the process that it started itself. */
class DaemonProcess
{
public:
    /**
     * @param program Path of the daemon. @param settingsPath Existing settings file.
     * @param logPath File to which standard output and standard error are appended.
     */
    DaemonProcess(std::string program, std::string settingsPath, std::string logPath);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /** Starts the process unless it is running. */
    void start();
    /** Sends a signal if the process is running. */
    void signal(int number);
    /** Blocks until the process has exited. */
    void waitForEnd();
    /** @return Whether the process is running. Reaps it if it has exited. */
    bool running();
    /** @return Whether the process ever exited without a SIGKILL or SIGTERM from this object. */
    bool crashed() const { return crashed_; }
    /** @return How often the process has been started. */
    int starts() const { return starts_; }

private:
    std::string program_;
    std::string settingsPath_;
    std::string logPath_;
    void recordEnd();

    pid_t pid_ = -1;
    bool endExpected_ = false;
    bool crashed_ = false;
    int starts_ = 0;
};

} // namespace teaselreach::soak
