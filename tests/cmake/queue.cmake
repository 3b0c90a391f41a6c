teaselreach_test(fair_queue_test SOURCES unit/fair_queue_test.cpp LIBS tr_queue)
teaselreach_test(dispatch_gate_test SOURCES unit/dispatch_gate_test.cpp LIBS tr_queue)
