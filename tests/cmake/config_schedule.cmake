teaselreach_test(config_schedule_test SOURCES unit/config_schedule_test.cpp LIBS tr_config tr_member)
teaselreach_test(spread_test SOURCES unit/spread_test.cpp LIBS tr_config tr_member)
