/** @file upstream_main.cpp Program: stand-in for one upstream. */
#include "standins/upstream_base.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_uint32(port, 0, "port to listen on, 0 = a free one");
DEFINE_string(name, "upstream", "name shown in answers");
DEFINE_int32(slots, 2, "requests worked on at a time");
DEFINE_int32(service_ms, 5, "time that a request takes");
DEFINE_int32(probe_ms, 25, "time that a health probe takes");
DEFINE_int32(cold_start_ms, 0, "time after the start in which requests take longer");
DEFINE_double(cold_factor, 4.0, "service time multiplier in the cold start");
DEFINE_int32(max_waiting, 64, "requests that may wait for a slot; further ones are shed");

int main(int argc, char **argv)
{
    using namespace teaselreach::standins;
    using std::chrono::milliseconds;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    const Upstream upstream(
        {.address = FLAGS_address, .port = static_cast<std::uint16_t>(FLAGS_port)},
        {.name = FLAGS_name,
         .slots = FLAGS_slots,
         .serviceTime = milliseconds(FLAGS_service_ms),
         .probeTime = milliseconds(FLAGS_probe_ms),
         .coldStart = milliseconds(FLAGS_cold_start_ms),
         .coldFactor = FLAGS_cold_factor,
         .maxWaiting = FLAGS_max_waiting});
    waitForStopSignal("upstream", upstream.url());
    return 0;
}
