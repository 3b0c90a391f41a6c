/** @file main.cpp doctest's main function, shared by all test programs. */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
