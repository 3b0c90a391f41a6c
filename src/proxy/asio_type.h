/** @file asio_type.h Aliases and helpers for Boost.Asio and Boost.Beast. */
#pragma once

// Boost 1.74's awaitable.hpp needs <utility> and does not include it.
// clang-format off
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace teaselreach::proxy {

namespace asio = boost::asio;
namespace beasthttp = boost::beast::http;
using ErrorCode = boost::system::error_code;
using Socket = asio::ip::tcp::socket;
using HttpRequest = beasthttp::request<beasthttp::string_body>;
using HttpResponse = beasthttp::response<beasthttp::string_body>;

/** HTTP/1.1 in the version numbers of Boost.Beast. */
inline constexpr unsigned httpVersion11 = 11;

/** @return The class of a response's status, also for a code that Boost.Beast has no name for. */
inline beasthttp::status_class statusClassOf(const HttpResponse &response)
{
    return beasthttp::to_status_class(response.result_int());
}

/** @return A completion token that writes the error of an operation to @p error instead of throwing
 * it. */
inline auto captureError(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace teaselreach::proxy
