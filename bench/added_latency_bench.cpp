/**
 * @file added_latency_bench.cpp Latency that a daemon adds on persistent connections.
 *
 * Alternates the same requests between an upstream and a daemon in front of it, each at --rate, and
 * compares the 99th percentiles of the two. Exits with 1 if the daemon adds more than 1.3 ms or a
 * request fails. scripts/demo.sh starts the processes (`make measure`).
 */
#include "latency_pairs.h"

#include <gflags/gflags.h>

DEFINE_string(upstream, "", "ADDRESS:PORT of an upstream");
DEFINE_string(daemon, "", "ADDRESS:PORT of a daemon's caller port");
DEFINE_string(key, "", "Key of a client account that may use --path");
DEFINE_string(path, "/slots", "Path of a route to the upstream's service");
DEFINE_double(rate, 200, "Requests per second to each of the two");
DEFINE_int32(seconds, 20, "Length of the run");

using namespace teaselreach;

namespace {

http::Target parseTarget(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto makeRequest = [] {
        return http::Request {.method = "GET",
                              .target = FLAGS_path,
                              .headers = {{"Authorization", "Bearer " + FLAGS_key}}};
    };
    const bool met = bench::measureLatencyPairs({.upstream = parseTarget(FLAGS_upstream),
                                                 .daemon = parseTarget(FLAGS_daemon),
                                                 .makeRequest = makeRequest,
                                                 .rate = FLAGS_rate,
                                                 .seconds = FLAGS_seconds});
    return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
