/** @file platform_main_test.cpp The daemon process: its shutdown and its log. */
#include "daemon_process_base.h"
#include "standins/free_port.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

using namespace teaselreach;

namespace {

/** A folder that is removed at the end of the test, whatever its outcome. */
class TemporaryFolder
{
public:
    TemporaryFolder()
        : path_(std::filesystem::temp_directory_path() / "teaselreach-main.XXXXXX")
    {
        if (mkdtemp(path_.data()) == nullptr)
            throw std::filesystem::filesystem_error(
                "mkdtemp", path_, std::error_code(errno, std::generic_category()));
    }
    ~TemporaryFolder()
    {
        std::error_code ignored; // A failure to remove the folder does not fail the test.
        std::filesystem::remove_all(path_, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return path_; }

private:
    std::string path_;
};

/** Writes the settings of a daemon whose store is unreachable. */
void writeSettings(const std::string &folder, const std::string &callerAddress)
{
    const std::string address = "127.0.0.1";
    const auto endpoint = [&] {
        return "\"" + address + ":" + std::to_string(standins::freePort(address)) + "\"";
    };
    std::ofstream(folder + "/vm.json")
        << R"({"nodeName": "vm", "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {"z": "r"},)"
        << R"("listen": {"front": ")" << callerAddress << R"(", "readiness": )" << endpoint()
        << R"(, "directory": )" << endpoint() << R"(}, "internalPorts": [)"
        << standins::freePort(address) << R"(], "bounds": ["grace=2s"],)"
        << R"("limits": {"cpuShare": 1, "cores": 1}, "platform": {"address": )" << endpoint()
        << "}}";
}

/** @return The text of a file. */
std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("a daemon exits within its grace period after SIGTERM, with a complete log")
{
    // The destruction of static objects of the logging library took longer than the grace period,
    // and the processes were killed.
    const TemporaryFolder temporary;
    const std::string &folder = temporary.path();
    writeSettings(folder, "127.0.0.1:" + std::to_string(standins::freePort("127.0.0.1")));
    soak::DaemonProcess process(DAEMON_PROGRAM, folder + "/vm.json", folder + "/vm.log");
    process.start();
    const auto logged = [&](const char *event) {
        return readFile(folder + "/vm.log").find(event) != std::string::npos;
    };
    const auto eventually = [](const std::function<bool()> &condition, core::Micros timeout) {
        const core::MonoTime end = core::MonoClock::now() + timeout;
        while (!condition() && core::MonoClock::now() < end)
            std::this_thread::sleep_for(core::Millis(10));
        return condition();
    };
    REQUIRE(eventually([&] { return logged("event=daemon_started"); }, core::Seconds(10)));
    process.signal(SIGTERM);
    CHECK(eventually([&] { return !process.running(); }, core::Seconds(2)));
    CHECK(!process.crashed());
    CHECK(logged("event=daemon_stopped"));
}

TEST_CASE("a daemon that cannot bind an address leaves a well-formed log")
{
    // The log's buffer was destroyed before the last flush, which then wrote freed memory.
    const TemporaryFolder temporary;
    const std::string &folder = temporary.path();
    // 203.0.113.1 is reserved for documentation, so no VM can bind it.
    writeSettings(folder, "203.0.113.1:8080");
    soak::DaemonProcess process(DAEMON_PROGRAM, folder + "/vm.json", folder + "/vm.log");
    process.start();
    process.waitForEnd();
    const std::string log = readFile(folder + "/vm.log");
    CHECK(log.find("event=daemon_started") != std::string::npos);
    CHECK(log.find("event=daemon_failed code=http_server_unavailable") != std::string::npos);
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);)
        CHECK(line.starts_with("ts="));
}

TEST_CASE("a daemon starts with an invalid limit of hedges")
{
    const TemporaryFolder temporary;
    const std::string &folder = temporary.path();
    writeSettings(folder, "127.0.0.1:" + std::to_string(standins::freePort("127.0.0.1")));
    for (const char *value : {"21", "-1", "some"}) {
        std::string command = DAEMON_PROGRAM;
        command.append(" --settings=").append(folder).append("/vm.json --hedge_percent=");
        command.append(value).append(" 2> ").append(folder).append("/error");
        const int status = std::system(command.c_str());
        CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 78));
        CHECK(readFile(folder + "/error").find("hedge_percent") != std::string::npos);
    }
}
