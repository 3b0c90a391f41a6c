teaselreach_test(record_test SOURCES unit/record_test.cpp LIBS tr_record)
