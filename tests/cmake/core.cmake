teaselreach_test(core_test SOURCES unit/core_test.cpp LIBS tr_core)
