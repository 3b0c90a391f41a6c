teaselreach_test(daemon_test SOURCES daemon/request_test.cpp daemon/bad_input_test.cpp
    daemon/shutdown_test.cpp LIBS tr_daemon)
