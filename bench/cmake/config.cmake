teaselreach_bench(config_bench SOURCES config_bench.cpp LIBS tr_config tr_member)
target_include_directories(config_bench PRIVATE ${CMAKE_SOURCE_DIR}/tests)
