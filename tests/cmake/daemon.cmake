teaselreach_test(daemon_test SOURCES daemon/request_test.cpp daemon/bad_input_test.cpp daemon/hedge_test.cpp
    daemon/shutdown_test.cpp LIBS tr_daemon)
teaselreach_test(daemon_fleet_test SOURCES daemon/fleet_test.cpp LIBS tr_daemon tr_standins)
