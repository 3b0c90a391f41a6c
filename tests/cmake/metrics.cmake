teaselreach_test(metrics_test SOURCES unit/metrics_test.cpp LIBS tr_metrics)
