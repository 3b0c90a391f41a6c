/** @file message_reader_base.h Reads HTTP/1.1 messages from a connection within limits. */
#pragma once

#include "proxy/asio_type.h"
#include "proxy/body_budget_base.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace teaselreach::proxy {

/** Limits of one message. */
struct MessageLimits
{
    /** Largest header section with its start line, trailer section, and line of a chunk's size and
     * extensions, in bytes each. A longer one ends the message with the error header_limit. */
    std::size_t maxSectionBytes = std::size_t {64} * 1024;
    /** Largest body in bytes. A longer one ends the message with the error body_limit. */
    std::uint64_t maxBodyBytes = std::uint64_t {1024} * 1024;
};

namespace detail {

/** Longest read from a connection in bytes. */
inline constexpr std::size_t maxReadBytes = 65536;

/**
 * Like basic_parser::put(), but reports a field that the parser cannot store as an error. Its
 * length_error would otherwise leave the event loop.
 * @return The number of bytes that the parser has taken.
 */
template <bool isRequest>
std::size_t parse(beasthttp::basic_parser<isRequest> &parser, asio::const_buffer bytes,
                  ErrorCode &error)
{
    try {
        return parser.put(bytes, error);
    } catch (const std::length_error &) {
        error = beasthttp::error::header_limit;
        return 0;
    }
}

/**
 * @param lines Lines of a header section, from the start of one of them.
 * @return Whether one continues the line before it (obsolete folding, RFC 9112 section 5.2). The
 * parser would join the two, although its sender may have meant a field of its own.
 */
inline bool hasFoldedLine(std::string_view lines)
{
    constexpr std::string_view lineEnd = "\r\n";
    for (std::size_t end = lines.find(lineEnd); end != std::string_view::npos;
         end = lines.find(lineEnd)) {
        lines.remove_prefix(end + lineEnd.size());
        if (end == 0) // The empty line that ends the section.
            return false;
        if (lines.starts_with(' ') || lines.starts_with('\t'))
            return true;
    }
    return false;
}

} // namespace detail

/**
 * Reads one message. The fields of a trailer section are discarded: they come after everything that
 * a message's sender has been judged by. Everything that the parser must see as a whole, such as a
 * trailer section, has to fit the limit of a section, so neither the buffer nor a field grows
 * beyond it.
 */
template <bool isRequest>
class MessageReader
{
public:
    using Parser = beasthttp::parser<isRequest, beasthttp::string_body>;
    using Message = typename Parser::value_type;

    /** @param socket The connection. @param buffer Holds received bytes between messages; both must
     * outlive the reader. @param limits Limits of the message. */
    MessageReader(Socket &socket, boost::beast::flat_buffer &buffer, const MessageLimits &limits)
        : socket_(socket)
        , buffer_(buffer)
        , maxSectionBytes_(limits.maxSectionBytes)
    {
        constexpr std::size_t largest = std::numeric_limits<std::uint32_t>::max();
        parser_.header_limit(static_cast<std::uint32_t>(std::min(maxSectionBytes_, largest)));
        parser_.body_limit(limits.maxBodyBytes);
    }

    /** Makes a body that ends with the connection count as cut off: the stream may have ended early
     * for a reason that only the other direction has shown. */
    void requireStatedEnd() { requiresStatedEnd_ = true; }

    /** @return The parser, with what has been read so far. */
    Parser &parser() { return parser_; }

    /** Reads up to the end of the header section. @param error Set if there is no valid one;
     * end_of_stream if the connection ended before the first byte. */
    asio::awaitable<void> readHeader(ErrorCode &error)
    {
        parser_.eager(false);
        while (!error && !parser_.is_header_done())
            co_await parseOrReceive(error);
        if (!error && hasUnknownCoding())
            error = beasthttp::error::bad_transfer_encoding;
        if (!error && parser_.chunked())
            header_ = parser_.get().base();
    }

    /** @return The whole message, once the parser is done. */
    Message release()
    {
        Message message = parser_.release();
        // The parser has added the fields of the trailer section.
        if (header_)
            message.base() = std::move(*header_);
        return message;
    }

    /** Reserves the room of a body of a stated length. @param error As with readSome(). */
    void reserveStatedBody(BodyReservation &body, ErrorCode &error)
    {
        if (!parser_.is_done())
            reserve(body, parser_.content_length().value_or(0), error);
    }

    /** Reads a part of the body, and what follows it, after the header section.
     * @param body Grows with the body.
     * @param error Set if it is malformed, too long or cut off; no_memory if the budget of the
     * reservation has no room for it now. */
    asio::awaitable<void> readSome(BodyReservation &body, ErrorCode &error)
    {
        parser_.eager(true);
        growBody(body, error);
        if (error)
            co_return;
        co_await parseOrReceive(error);
        if (!error)
            reserve(body, parser_.get().body().capacity(), error);
    }

private:
    static void reserve(BodyReservation &body, std::size_t bytes, ErrorCode &error)
    {
        if (!body.canEverHold(bytes))
            error = beasthttp::error::body_limit;
        else if (!body.extendTo(bytes))
            error = asio::error::no_memory;
    }

    /**
     * Makes room for the next read in a long body without a stated length. The string would grow by
     * itself, but the budget has to hold its old and its new block until the bytes are copied.
     */
    void growBody(BodyReservation &body, ErrorCode &error)
    {
        std::string &bytes = parser_.get().body();
        if (parser_.content_length() || bytes.size() < detail::maxReadBytes
            || bytes.capacity() - bytes.size() >= 2 * detail::maxReadBytes)
            return;
        const std::size_t capacity = 2 * bytes.capacity() + detail::maxReadBytes;
        reserve(body, bytes.capacity() + capacity, error);
        if (error)
            return;
        bytes.reserve(capacity);
        body.reduceTo(bytes.capacity());
    }

    /** Parses the bytes in the buffer; receives more if the parser needs them. */
    asio::awaitable<void> parseOrReceive(ErrorCode &error)
    {
        if (buffer_.size() > 0) {
            if (isFolded()) {
                error = beasthttp::error::bad_field;
                co_return;
            }
            const std::size_t parsed = detail::parse(parser_, buffer_.cdata(), error);
            buffer_.consume(parsed);
            // Once the header section is complete, the parser leaves nothing but parts of a later
            // section or line.
            headerBytes_ = parser_.is_header_done() ? 0 : headerBytes_ + parsed;
            if (error != beasthttp::error::need_more)
                co_return;
            error = {};
        }
        const std::size_t sectionBytes = headerBytes_ + buffer_.size();
        if (sectionBytes >= maxSectionBytes_) {
            error = beasthttp::error::header_limit;
            co_return;
        }
        const std::size_t size = std::min(boost::beast::read_size(buffer_, detail::maxReadBytes),
                                          maxSectionBytes_ - sectionBytes);
        const std::size_t received =
            co_await socket_.async_read_some(buffer_.prepare(size), captureError(error));
        buffer_.commit(received);
        if (error == asio::error::eof)
            finishAtEndOfStream(error);
    }

    /** @return Whether the message has a transfer coding other than chunked. Nothing here decodes
     * one, and the parser would take the body of such a request for the next request. */
    bool hasUnknownCoding() const
    {
        const auto [first, last] =
            parser_.get().base().equal_range(beasthttp::field::transfer_encoding);
        const auto count = std::distance(first, last);
        return count > 1 || (count == 1 && !boost::beast::iequals(first->value(), "chunked"));
    }

    /** @return Whether the buffer holds a folded line of a response's header section. */
    bool isFolded() const
    {
        if (isRequest || parser_.is_header_done())
            return false;
        const asio::const_buffer bytes = buffer_.cdata();
        return detail::hasFoldedLine({static_cast<const char *>(bytes.data()), bytes.size()});
    }

    void finishAtEndOfStream(ErrorCode &error)
    {
        error = beasthttp::error::end_of_stream;
        if (!parser_.got_some())
            return;
        error = {};
        if (requiresStatedEnd_)
            error = beasthttp::error::partial_message;
        else
            parser_.put_eof(error);
    }

    Socket &socket_;
    boost::beast::flat_buffer &buffer_;
    std::size_t maxSectionBytes_;
    bool requiresStatedEnd_ = false;
    std::size_t headerBytes_ = 0; ///< Parsed bytes of an incomplete header section.
    Parser parser_;
    /** The header section of a message in chunks. */
    std::optional<typename Message::header_type> header_;
};

} // namespace teaselreach::proxy
