/** @file core_test.cpp Tests of digests, log lines and clock arithmetic. */
#include "core/clock_type.h"
#include "core/digest_func.h"
#include "core/log_func.h"
#include "table/refusal_table.h"

#include <doctest/doctest.h>

#include <set>

using namespace teaselreach;

TEST_CASE("sha256Hex gives the published digest of 'abc'")
{
    CHECK(core::sha256Hex("abc")
          == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("constant-time comparison tells different lengths and contents apart")
{
    CHECK(core::equalConstantTime("abc", "abc"));
    CHECK_FALSE(core::equalConstantTime("abc", "abd"));
    CHECK_FALSE(core::equalConstantTime("abc", "ab"));
}

TEST_CASE("a value with a line break cannot forge a second log line")
{
    const std::string line = core::formatEvent("x", {{"path", "a\nlevel=ERROR"}, {"n", 3}});
    CHECK(line == "event=x path=\"a level=ERROR\" n=3");
}

TEST_CASE("the lender's wait is longer than the borrower's by the drift bound")
{
    CHECK(core::withDrift(core::Micros(1000000)) > core::Micros(1010000));
}

TEST_CASE("refusal codes are unique, so that callers can tell them apart")
{
    std::set<std::string_view> codes;
    for (const table::RefusalRow &row : table::refusalTable)
        codes.insert(row.code);
    CHECK(codes.size() == table::refusalTable.size());
}
