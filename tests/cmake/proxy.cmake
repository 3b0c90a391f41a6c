teaselreach_test(proxy_decisions_test SOURCES proxy/decisions_test.cpp LIBS tr_proxy_decisions)
teaselreach_test(proxy_placement_test SOURCES proxy/placement_test.cpp LIBS tr_proxy_decisions)
teaselreach_test(proxy_flow_test SOURCES proxy/flow_test.cpp LIBS tr_proxy)
teaselreach_test(proxy_sync_test SOURCES proxy/sync_test.cpp LIBS tr_proxy)
