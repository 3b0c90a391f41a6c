teaselreach_test(rpc_test SOURCES unit/rpc_test.cpp LIBS tr_rpc)
