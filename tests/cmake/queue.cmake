teaselreach_test(fair_queue_test SOURCES unit/fair_queue_test.cpp LIBS tr_queue)
