/** @file message_reader_test.cpp MessageReader: bytes at random, split at any position. */
#include "core/clock_type.h"
#include "proxy/event_loop_func.h"
#include "proxy/message_reader_base.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace teaselreach;
using namespace teaselreach::proxy;

namespace {

constexpr MessageLimits smallLimits {.maxSectionBytes = 256, .maxBodyBytes = 1000};

/** What a reader made of some bytes. */
struct ReadResult
{
    bool ended = false; ///< Whether the reader came to an end at all.
    bool whole = false; ///< Whether it found a whole message.
    std::string body;
    std::size_t largestBuffer = 0;
};

/** Two connected sockets on an event loop that the test drives. */
class Connection
{
public:
    Connection()
    {
        asio::ip::tcp::acceptor acceptor(context_, {asio::ip::make_address_v4("127.0.0.1"), 0});
        writing_.connect(acceptor.local_endpoint());
        acceptor.accept(reading_);
        writing_.set_option(asio::ip::tcp::no_delay(true));
    }

    /** Sends the pieces one after the other, then closes. @return What the reader made of them. */
    template <bool isRequest>
    ReadResult read(const std::vector<std::string> &pieces)
    {
        ReadResult result;
        spawn(context_, "read_message", [&] { return readMessage<isRequest>(result); });
        for (const std::string &piece : pieces) {
            ErrorCode error; // The reader may have closed already.
            asio::write(writing_, asio::buffer(piece), error);
            context_.poll();
        }
        writing_.close();
        context_.run_for(core::Seconds(2));
        return result;
    }

private:
    template <bool isRequest>
    asio::awaitable<void> readMessage(ReadResult &result)
    {
        MessageReader<isRequest> reader(reading_, buffer_, smallLimits);
        ErrorCode error;
        BodyReservation body;
        co_await reader.readHeader(error);
        while (!error && !reader.parser().is_done()) {
            co_await reader.readSome(body, error);
            result.largestBuffer = std::max(result.largestBuffer, buffer_.size());
        }
        result.ended = true;
        result.whole = !error;
        if (!error)
            result.body = reader.parser().get().body();
        reading_.close();
    }

    asio::io_context context_ {1};
    Socket reading_ {context_};
    Socket writing_ {context_};
    boost::beast::flat_buffer buffer_;
};

template <bool isRequest>
ReadResult readPieces(const std::vector<std::string> &pieces)
{
    Connection connection;
    return connection.read<isRequest>(pieces);
}

/** @return A message in each form of framing; @p start is its first line. */
std::vector<std::string> messagesWith(const std::string &start)
{
    return {
        start + "Content-Length: 8\r\n\r\nhelloyou",
        start
            + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n"
              "5;x=\"y\"\r\nhello\r\n3\r\nyou\r\n0;z\r\nX-End: 1\r\nX-Two: 2\r\n\r\n",
        start + "X-Folded: a\r\n b\r\nConnection: close\r\n\r\nhelloyou",
    };
}

const std::string requestLine = "POST /a HTTP/1.1\r\nHost: x\r\n";
const std::string statusLine = "HTTP/1.1 200 OK\r\nX-A: b\r\n";

/** @return The text with one change at random. */
std::string mutated(const std::string &text, std::mt19937 &random)
{
    const auto below = [&](std::size_t end) {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
    };
    if (text.empty())
        return text;
    const std::size_t at = below(text.size());
    std::string changed = text;
    switch (below(5)) {
    case 0:
        changed[at] = static_cast<char>(below(256));
        break;
    case 1:
        changed.erase(at, below(20));
        break;
    case 2:
        changed.insert(at, std::string(below(600), static_cast<char>(below(256))));
        break;
    case 3:
        changed.insert(at, text.substr(below(text.size()), below(40)));
        break;
    default:
        changed.resize(at);
        break;
    }
    return changed;
}

/** @return The text in pieces of random lengths. */
std::vector<std::string> split(const std::string &text, std::mt19937 &random)
{
    std::vector<std::string> pieces;
    std::uniform_int_distribution<std::size_t> length(1, 40);
    for (std::size_t at = 0; at < text.size(); at += pieces.back().size())
        pieces.push_back(text.substr(at, length(random)));
    return pieces;
}

template <bool isRequest>
void checkSplits(const std::string &start)
{
    for (const std::string &message : messagesWith(start)) {
        const ReadResult whole = readPieces<isRequest>({message});
        REQUIRE(whole.ended);
        for (std::size_t at = 1; at < message.size(); ++at) {
            CAPTURE(message);
            CAPTURE(at);
            const ReadResult parts =
                readPieces<isRequest>({message.substr(0, at), message.substr(at)});
            CHECK(parts.ended);
            CHECK(parts.whole == whole.whole);
            CHECK(parts.body == whole.body);
        }
    }
}

template <bool isRequest>
void checkMutations(const std::string &start, std::uint32_t seed)
{
    std::mt19937 random(seed);
    for (const std::string &message : messagesWith(start)) {
        for (int i = 0; i < 400; ++i) {
            const std::string changed = mutated(mutated(message, random), random);
            CAPTURE(seed);
            CAPTURE(i);
            CAPTURE(changed);
            const ReadResult whole = readPieces<isRequest>({changed});
            const ReadResult parts = readPieces<isRequest>(split(changed, random));
            CHECK(whole.ended);
            CHECK(parts.ended);
            CHECK(parts.whole == whole.whole);
            CHECK(parts.body == whole.body);
            CHECK(whole.largestBuffer <= smallLimits.maxSectionBytes);
            CHECK(parts.largestBuffer <= smallLimits.maxSectionBytes);
        }
    }
}

} // namespace

TEST_CASE("a message is read otherwise if its bytes arrive in two parts")
{
    const ReadResult chunked = readPieces<false>({messagesWith(statusLine)[1]});
    CHECK(chunked.whole);
    CHECK(chunked.body == "helloyou");
    checkSplits<true>(requestLine);
    checkSplits<false>(statusLine);
}

TEST_CASE("bytes at random throw, hang, fill the buffer or are read otherwise in parts")
{
    const std::uint64_t failuresBefore = core::taskFailures();
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        checkMutations<true>(requestLine, seed);
        checkMutations<false>(statusLine, seed);
    }
    CHECK(core::taskFailures() == failuresBefore);
}
