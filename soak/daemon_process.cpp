/** @file daemon_process.cpp Runs one daemon as a child process. */
#include "daemon_process_base.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace teaselreach::soak {

std::string soakAddress()
{
    constexpr int hosts = 250;
    const int pid = getpid();
    return "127." + std::to_string(64 + pid / (hosts * hosts) % 64) + "."
        + std::to_string(pid / hosts % hosts) + "." + std::to_string(1 + pid % hosts);
}

DaemonProcess::DaemonProcess(std::string program, std::string settingsPath, std::string logPath)
    : program_(std::move(program))
    , settingsPath_(std::move(settingsPath))
    , logPath_(std::move(logPath))
{ }

DaemonProcess::~DaemonProcess()
{
    if (!running())
        return;
    endExpected_ = true;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void DaemonProcess::start()
{
    if (running())
        return;
    ++starts_;
    endExpected_ = false;
    const std::string option = "--settings=" + settingsPath_;
    pid_ = fork();
    if (pid_ != 0)
        return;
    // If the soak is killed, the kernel kills the daemon too.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(program_.c_str(), program_.c_str(), option.c_str(), nullptr);
    _exit(127); // The program could not be executed; running() notices the exit.
}

void DaemonProcess::signal(int number)
{
    if (!running())
        return;
    endExpected_ = endExpected_ || number == SIGKILL || number == SIGTERM;
    kill(pid_, number);
}

bool DaemonProcess::running()
{
    if (pid_ <= 0)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0)
        return true;
    recordEnd();
    return false;
}

void DaemonProcess::waitForEnd()
{
    if (pid_ <= 0)
        return;
    waitpid(pid_, nullptr, 0);
    recordEnd();
}

void DaemonProcess::recordEnd()
{
    pid_ = -1;
    crashed_ = crashed_ || !endExpected_;
}

} // namespace teaselreach::soak
