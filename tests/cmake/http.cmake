teaselreach_test(http_test SOURCES unit/http_test.cpp LIBS tr_http PkgConfig::CURL)
