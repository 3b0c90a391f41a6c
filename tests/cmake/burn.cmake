teaselreach_test(burn_test SOURCES unit/burn_test.cpp LIBS tr_burn)
