teaselreach_bench(placement_experiment SOURCES placement_experiment.cpp LIBS tr_fleet PkgConfig::GFLAGS)
target_include_directories(placement_experiment PRIVATE ${CMAKE_SOURCE_DIR}/tests)
