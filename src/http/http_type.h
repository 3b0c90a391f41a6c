/** @file http_type.h HTTP requests, responses and the outcome of an exchange. */
#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselreach::http {

/** One header field. */
struct Header
{
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/** Address and port of an HTTP/1.1 server. */
struct Target
{
    std::string address; ///< IPv4 number.
    std::uint16_t port = 0;

    auto operator<=>(const Target &) const = default;
};

/** A request to one server. */
struct Request
{
    std::string method = "GET";
    std::string target = "/"; ///< Path and query as sent, not normalised.
    Headers headers;
    std::string body;
};

/** How far an exchange progressed. */
enum class Progress : std::uint8_t {
    NotSent,  ///< No byte of the request left this process.
    SentOnly, ///< The request may have been executed; no complete response arrived.
    Answered, ///< The complete response arrived.
};

/** Why an exchange ended without a complete response. */
enum class Cause : std::uint8_t { None, Connect, Timeout, Truncated, TooLarge };

/** Outcome of one exchange; status, headers and body are set only if it was answered. */
struct Result
{
    Progress progress = Progress::NotSent;
    Cause cause = Cause::None;
    int status = 0;
    Headers headers;
    std::string body;
    std::string detail; ///< Error description for logs.
};

/** Options of the client. */
struct ClientOptions
{
    core::Millis connectTimeout {500};
    core::Seconds maxIdleTime {30};            ///< Connections idle for longer are not reused.
    std::size_t maxIdleConnections = 8;        ///< For each target.
    std::size_t maxResponseBytes = 67'108'864; ///< A longer response ends the exchange.
};

} // namespace teaselreach::http
