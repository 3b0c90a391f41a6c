teaselreach_bench(limit_bench SOURCES limit_bench.cpp LIBS tr_limit tr_record)
target_include_directories(limit_bench PRIVATE ${CMAKE_SOURCE_DIR}/tests)
teaselreach_bench(limit_message_bench SOURCES limit_message_bench.cpp LIBS tr_limit tr_record tr_entry)
target_include_directories(limit_message_bench PRIVATE ${CMAKE_SOURCE_DIR}/tests)
