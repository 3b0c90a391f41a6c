teaselreach_test(limit_test SOURCES unit/limit_test.cpp LIBS tr_limit)
teaselreach_test(limit_fault_test SOURCES sim/limit_fault_test.cpp LIBS tr_limit)
