/** @file request_fuzz.cpp Requests of callers: read in pieces, and made into requests for
 * upstreams. */
#include "fuzz/message_feed.h"
#include "proxy/exchange_func.h"

using namespace teaselreach;
using fuzz::names;

namespace {

void forward(const proxy::HttpRequest &request)
{
    const proxy::HttpRequest forwarded =
        proxy::makeForwardRequest(request, names,
                                  {.account = core::ClientAccountId("bakery"),
                                   .upstream = core::UpstreamId("i-1"),
                                   .timeLeft = core::Millis(100)});
    fuzz::require(forwarded.count(proxy::beasthttp::field::authorization) == 0);
    fuzz::require(forwarded.count(proxy::beasthttp::field::transfer_encoding) == 0);
    fuzz::require(forwarded.count(names.account) == 1 && forwarded[names.account] == "bakery");
    fuzz::require(forwarded.count(names.targetUpstream) == 1);
    fuzz::require(forwarded.count(names.deadlineMs) == 1);
    proxy::apiKeyOf(request, names);
    const auto timeout = proxy::callerTimeout(request, names);
    fuzz::require(!timeout || *timeout >= core::Micros(0));
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const fuzz::FeedResult<true> whole = fuzz::feed<true>(bytes, bytes.size());
    fuzz::require(fuzz::isSame(whole, fuzz::feed<true>(bytes, data[0])));
    if (whole.whole)
        forward(whole.message);
    return 0;
}
