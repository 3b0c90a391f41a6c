/** @file message_feed.h Feeds bytes to a MessageReader, for fuzz targets. */
#pragma once

#include "proxy/event_loop_func.h"
#include "proxy/header_names_type.h"
#include "proxy/message_reader_base.h"

#include <cstdlib>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselreach::fuzz {

using namespace teaselreach::proxy;

/** Limits that inputs of a few kilobytes reach. */
inline constexpr MessageLimits feedLimits {.maxSectionBytes = 512, .maxBodyBytes = 1024};

/** The header fields of the corpus. */
inline const HeaderNames names {.attemptId = "X-Attempt",
                                .deadlineMs = "X-Deadline",
                                .seal = "X-Seal",
                                .account = "X-Account",
                                .targetUpstream = "X-Target",
                                .load = "X-Load",
                                .notExecuted = "X-Not-Run",
                                .upstreamId = "X-Upstream",
                                .keyScheme = "Bearer"};

/** Ends the process, which the fuzzer reports, unless a condition holds. */
inline void require(bool holds)
{
    if (!holds)
        std::abort();
}

/** What a reader made of some bytes. */
template <bool isRequest>
struct FeedResult
{
    bool whole = false; ///< Whether it found a whole message.
    typename MessageReader<isRequest>::Parser::value_type message;
};

namespace detail {

template <bool isRequest>
asio::awaitable<void> readMessage(Socket &socket, FeedResult<isRequest> &result, bool &ended)
{
    boost::beast::flat_buffer buffer;
    MessageReader<isRequest> reader(socket, buffer, feedLimits);
    ErrorCode error;
    BodyReservation body;
    co_await reader.readHeader(error);
    while (!error && !reader.parser().is_done()) {
        co_await reader.readSome(body, error);
        require(buffer.size() <= feedLimits.maxSectionBytes);
        require(reader.parser().get().body().size() <= feedLimits.maxBodyBytes);
    }
    result.whole = !error;
    if (result.whole)
        result.message = reader.release();
    ErrorCode ignored; // The socket is discarded either way.
    socket.close(ignored);
    ended = true;
}

} // namespace detail

/** Sends bytes in two pieces, then closes. @return What the reader made of them. */
template <bool isRequest>
FeedResult<isRequest> feed(std::string_view bytes, std::size_t split)
{
    int ends[2] {};
    require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) == 0);
    asio::io_context context(1);
    Socket socket(context);
    socket.assign(asio::ip::tcp::v4(), ends[0]);
    FeedResult<isRequest> result;
    bool ended = false;
    spawn(context, "read_message",
          [&] { return detail::readMessage<isRequest>(socket, result, ended); });
    for (const std::string_view piece :
         {bytes.substr(0, split), bytes.substr(std::min(split, bytes.size()))}) {
        // The reader may have closed already.
        (void)::send(ends[1], piece.data(), piece.size(), MSG_NOSIGNAL);
        context.poll();
    }
    ::close(ends[1]);
    context.run();
    require(ended);
    return result;
}

/** @return Whether two results are the same message, or both none. */
template <bool isRequest>
bool isSame(const FeedResult<isRequest> &one, const FeedResult<isRequest> &other)
{
    if (one.whole != other.whole)
        return false;
    return !one.whole || one.message.body() == other.message.body();
}

} // namespace teaselreach::fuzz
