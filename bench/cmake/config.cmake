teaselreach_bench(config_bench SOURCES config_bench.cpp LIBS tr_config tr_member)
