teaselreach_bench(added_latency_bench SOURCES added_latency_bench.cpp LIBS tr_http PkgConfig::GFLAGS)
