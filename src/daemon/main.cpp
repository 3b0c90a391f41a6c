/** @file main.cpp Entry point of teaselreachd. */
#include "core/log_func.h"
#include "daemon/daemon_base.h"
#include "settings/settings_func.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "/etc/teaselreach/teaselreachd.yaml", "Settings file (YAML)");

namespace {

/** Blocks SIGTERM and SIGINT in all threads, so that only waitForStopSignal() receives them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the other side has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void waitForStopSignal(const sigset_t &signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

int runDaemon(const teaselreach::settings::Settings &settings)
{
    const sigset_t signals = blockStopSignals();
    teaselreach::core::startLogging(settings.logLevel);
    teaselreach::daemon::Daemon daemon(settings);
    daemon.startFeeds();
    waitForStopSignal(signals);
    daemon.shutDown();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Entry VM daemon of teaselreach");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return runDaemon(teaselreach::settings::loadSettings(FLAGS_settings));
    } catch (const teaselreach::settings::SettingsError &error) {
        std::cerr << error.what() << '\n';
        return teaselreach::settings::settingsErrorExitCode;
    } catch (const teaselreach::core::Error &error) {
        std::cerr << error.code() << ": " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
