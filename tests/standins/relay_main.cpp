/** @file relay_main.cpp Program: TCP relay with a control port. */
#include "standins/relay_base.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_uint32(port, 0, "port that is relayed, 0 = a free one");
DEFINE_uint32(admin_port, 0, "port of POST /admin/faults, 0 = a free one");
DEFINE_string(target_address, "127.0.0.1", "loopback address to connect to");
DEFINE_uint32(target_port, 0, "port to connect to");

int main(int argc, char **argv)
{
    using namespace teaselreach::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    Relay relay(
        {.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_port)},
        {.address = FLAGS_target_address, .port = static_cast<std::uint16_t>(FLAGS_target_port)});
    const Server admin(
        {.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_admin_port)},
        [&relay](const Request &request) { return relay.handleAdmin(request); });
    waitForStopSignal("relay", relay.url() + " admin " + admin.url());
    return 0;
}
