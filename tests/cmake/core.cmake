teaselreach_test(core_test SOURCES unit/core_test.cpp LIBS tr_core)
teaselreach_test(task_guard_test SOURCES unit/task_guard_test.cpp LIBS tr_fleet)
