/** @file kv_store_main.cpp Program: stand-in for the key-value service. */
#include "standins/kv_store_base.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_uint32(port, 0, "port to listen on, 0 = a free one");

int main(int argc, char **argv)
{
    using namespace teaselreach::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    const KvStore store({.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_port)});
    waitForStopSignal("kv_store", store.url());
    return 0;
}
