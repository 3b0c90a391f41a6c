teaselreach_bench(added_latency_bench SOURCES added_latency_bench.cpp LIBS tr_http PkgConfig::GFLAGS)
teaselreach_bench(platform_latency_bench SOURCES platform_latency_bench.cpp LIBS tr_soak tr_http PkgConfig::GFLAGS)
