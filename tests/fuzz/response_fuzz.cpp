/** @file response_fuzz.cpp Responses of upstreams: read in pieces, judged, and made into responses
 * for callers. */
#include "fuzz/message_feed.h"
#include "proxy/exchange_func.h"

using namespace teaselreach;
using fuzz::names;

namespace {

void judge(const proxy::HttpResponse &response)
{
    const bool isNamed = proxy::fieldValue(response, names.attemptId) == "a1";
    for (const bool reused : {false, true}) {
        const proxy::ResponseMatch match = proxy::matchAttempt(response, names, "a1", reused);
        fuzz::require(match != proxy::ResponseMatch::Own || isNamed || !reused);
    }
    const proxy::AttemptEnd end = proxy::classifyResponse(response, names);
    if (end != proxy::AttemptEnd::Answered && end != proxy::AttemptEnd::ServerError)
        return;
    // A response that is passed on promises nothing about whether the request has run.
    for (const unsigned promise : {408U, 421U, 429U, 503U})
        fuzz::require(response.result_int() != promise);
    const proxy::HttpResponse forwarded = proxy::toCallerResponse(response, names);
    fuzz::require(forwarded.result_int() == response.result_int());
    fuzz::require(forwarded.body() == response.body());
    fuzz::require(forwarded.count(names.load) == 0 && forwarded.count(names.upstreamId) == 0);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const fuzz::FeedResult<false> whole = fuzz::feed<false>(bytes, bytes.size());
    fuzz::require(fuzz::isSame(whole, fuzz::feed<false>(bytes, data[0])));
    if (whole.whole)
        judge(whole.message);
    return 0;
}
