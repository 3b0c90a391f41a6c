teaselreach_test(entry_address_test SOURCES unit/entry_address_test.cpp LIBS tr_entry)
