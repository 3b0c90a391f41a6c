add_subdirectory(${CMAKE_CURRENT_SOURCE_DIR}/standins)
teaselreach_test(standins_test SOURCES unit/standins_test.cpp LIBS tr_standins tr_vmlist)
