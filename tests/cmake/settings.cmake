teaselreach_test(settings_test SOURCES unit/settings_test.cpp LIBS tr_settings)
target_compile_definitions(settings_test PRIVATE EXAMPLES_DIR="${CMAKE_SOURCE_DIR}/examples")
