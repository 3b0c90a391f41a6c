/** @file vm_list_main.cpp Program: stand-in for the VM list. */
#include "standins/vm_list_base.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_uint32(port, 0, "port to listen on, 0 = a free one");

int main(int argc, char **argv)
{
    using namespace teaselreach::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    const VmListServer list(
        {.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_port)});
    waitForStopSignal("vm_list", list.url());
    return 0;
}
