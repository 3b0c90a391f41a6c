teaselreach_test(config_change_test SOURCES unit/config_change_test.cpp LIBS tr_config)
