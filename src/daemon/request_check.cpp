/** @file request_check.cpp Stateless checks of a caller's request. */
#include "daemon/refusal_func.h"
#include "daemon/request_check_func.h"
#include "http/headers_func.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace teaselreach::daemon {

namespace {

using table::Refusal;

constexpr std::string_view bearerPrefix = "Bearer ";

/** A percent-encoded character that affects how a path is split into segments. */
struct EncodedCharacter
{
    std::string_view encoded; ///< Lower case.
    char decoded;
};

constexpr std::array<EncodedCharacter, 3> segmentCharacters {
    {{"%2e", '.'}, {"%2f", '/'}, {"%5c", '/'}}};

std::string decodeSegmentCharacters(std::string_view path)
{
    std::string decoded;
    while (!path.empty()) {
        const auto found = std::find_if(
            segmentCharacters.begin(), segmentCharacters.end(), [path](const auto &character) {
                return http::equalIgnoringCase(path.substr(0, 3), character.encoded);
            });
        const bool encoded = found != segmentCharacters.end();
        const char plain = path.front() == '\\' ? '/' : path.front();
        decoded.push_back(encoded ? found->decoded : plain);
        path.remove_prefix(encoded ? 3 : 1);
    }
    return decoded;
}

bool hasDotSegment(std::string_view path)
{
    const std::string pathWithSlash = decodeSegmentCharacters(path) + "/";
    return pathWithSlash.find("/./") != std::string::npos
        || pathWithSlash.find("/../") != std::string::npos;
}

} // namespace

void checkWellFormed(const http::ServerRequest &request)
{
    for (const http::Header &header : request.headers) {
        if (!http::isFieldName(header.name) || !http::isFieldValue(header.value))
            throw RequestRefused(Refusal::MalformedRequest,
                                 "a header field has an invalid name or value");
    }
    if (http::findHeader(request.headers, "Content-Length") != nullptr
        && http::findHeader(request.headers, "Transfer-Encoding") != nullptr)
        throw RequestRefused(Refusal::MalformedRequest,
                             "Content-Length and Transfer-Encoding are both present");
    if (!request.path.starts_with('/') || hasDotSegment(request.path))
        throw RequestRefused(Refusal::MalformedRequest,
                             "the path is not absolute or has dot segments");
}

std::optional<std::string> bearerKey(const http::Headers &headers)
{
    const std::string *value = http::findHeader(headers, "Authorization");
    if (value == nullptr || value->size() <= bearerPrefix.size())
        return std::nullopt;
    if (!http::equalIgnoringCase(std::string_view(*value).substr(0, bearerPrefix.size()),
                                 bearerPrefix))
        return std::nullopt;
    return value->substr(bearerPrefix.size());
}

const record::ClientAccount &findAccountOfKey(const config::ConfigSnapshot &snapshot,
                                              const std::optional<std::string> &key)
{
    if (!key)
        throw RequestRefused(Refusal::NoKey);
    const record::Key *record = snapshot.findKey(*key);
    const record::ClientAccount *account =
        record == nullptr ? nullptr : snapshot.findAccount(record->account);
    if (account == nullptr)
        throw RequestRefused(Refusal::UnknownKey);
    return *account;
}

Authorization authorize(std::shared_ptr<const config::ConfigSnapshot> snapshot, bool keysUsable,
                        const http::ServerRequest &request)
{
    if (!snapshot)
        throw RequestRefused(Refusal::NoConfiguration);
    const record::Route *route = snapshot->matchRoute(request.method, request.path);
    if (route == nullptr)
        throw RequestRefused(Refusal::UnknownRoute);
    if (route->openToAll)
        return {.snapshot = std::move(snapshot), .route = route};
    const std::optional<std::string> key = bearerKey(request.headers);
    if (key && !keysUsable)
        throw RequestRefused(Refusal::KeysStale);
    const record::ClientAccount &account = findAccountOfKey(*snapshot, key);
    if (!config::accountMayUse(account, route->id))
        throw RequestRefused(Refusal::RouteNotAllowed);
    return {.snapshot = std::move(snapshot), .route = route, .account = &account};
}

core::MonoTime requestDeadline(const http::ServerRequest &request, const record::Route &route)
{
    core::Millis allowed = route.timeout;
    const std::string *value = http::findHeader(request.headers, "X-Deadline-Ms");
    if (value != nullptr) {
        std::uint32_t millis = 0;
        const char *end = value->data() + value->size();
        const auto [stop, error] = std::from_chars(value->data(), end, millis);
        if (error != std::errc() || stop != end)
            throw RequestRefused(Refusal::MalformedRequest,
                                 "X-Deadline-Ms is not a number of milliseconds");
        allowed = std::min(allowed, core::Millis(millis));
    }
    return request.receivedAt + allowed;
}

} // namespace teaselreach::daemon
