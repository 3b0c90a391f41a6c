teaselreach_test(tool_test SOURCES unit/tool_test.cpp LIBS tr_tool)
