teaselreach_test(limit_test SOURCES unit/limit_test.cpp LIBS tr_limit)
