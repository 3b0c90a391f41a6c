teaselreach_bench(fairness_bench SOURCES fairness_bench.cpp LIBS tr_queue)
