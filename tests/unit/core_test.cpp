/** @file core_test.cpp Tests of digests, log lines and clock arithmetic. */
#include "core/clock_type.h"
#include "core/digest_func.h"
#include "core/log_func.h"
#include "core/log_sink_base.h"
#include "table/refusal_table.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <set>
#include <unistd.h>

using namespace teaselreach;

TEST_CASE("sha256Hex returns the published digest of 'abc'")
{
    CHECK(core::sha256Hex("abc")
          == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("constant-time comparison detects different lengths and contents")
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

TEST_CASE("the lender's wait exceeds the borrower's by more than the maximum clock drift")
{
    CHECK(core::withDrift(core::Micros(1000000)) > core::Micros(1010000));
}

TEST_CASE("refusal codes are unique, so that callers can distinguish them")
{
    std::set<std::string_view> codes;
    for (const table::RefusalRow &row : table::refusalTable)
        codes.insert(row.code);
    CHECK(codes.size() == table::refusalTable.size());
}

TEST_CASE("a stalled log reader neither blocks the writer nor exceeds the buffer bound")
{
    int ends[2] = {};
    REQUIRE(pipe(ends) == 0);
    core::LogSink sink(ends[1]);
    const std::string line(100, 'x');
    for (int i = 0; i < 20000; ++i)
        sink.append(line + "\n"); // 2 MB: more than the pipe and the sink hold.
    sink.flush();
    CHECK(sink.dropped() > 0);
    const std::uint64_t dropped = sink.dropped();
    // The reader resumes: the buffered lines and the number of dropped lines arrive.
    std::string received;
    std::string part(65536, ' ');
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 100; ++i) {
        const ssize_t count = read(ends[0], part.data(), part.size());
        if (count > 0)
            received.append(part, 0, static_cast<std::size_t>(count));
        if (i == 50)
            sink.append("again\n");
        sink.flush();
    }
    CHECK(received.find("log_lines_dropped total=" + std::to_string(dropped)) != std::string::npos);
    CHECK(received.ends_with("again\n"));
    close(ends[0]);
    close(ends[1]);
}
