/** @file daemon_process_base.h A daemon of the soak as a process of its own. */
#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace teaselreach::soak {

/**
 * @return The loopback address at which this soak listens. Each process has its own, so that soaks
 * run side by side; outgoing connections come from 127.0.0.1 and take none of its ports.
 */
std::string soakAddress();

/** Starts, signals and ends one daemon; only ever by the id of the process that it started. */
class DaemonProcess
{
public:
    /**
     * @param program Path of the daemon. @param settingsPath Settings file that stands already.
     * @param logPath Where its standard output goes.
     */
    DaemonProcess(std::string program, std::string settingsPath, std::string logPath);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /** Starts the process; nothing happens if it runs. */
    void start();
    /** Sends a signal if the process runs. */
    void signal(int number);
    /** Waits until the process has ended. */
    void waitForEnd();
    /** @return Whether it runs; collects its end. */
    bool running();
    /** @return Whether it ended by itself with an error or a signal that was not sent to it. */
    bool crashed() const { return crashed_; }
    /** @return Number of starts. */
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
