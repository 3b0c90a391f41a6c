/** @file http_store.cpp Client of the key-value service over HTTP. */
#include "store/http_store_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::store {

namespace {

using nlohmann::json;

enum HttpStatus : long {
    Ok = 200,
    NoContent = 204,
    BadRequest = 400,
    NotFound = 404,
    Conflict = 409,
    TooLarge = 413,
    Unavailable = 503,
};

void checkKey(const std::string &key)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789/_.-";
    if (key.empty() || key.find_first_not_of(allowed) != std::string::npos)
        throw StoreRejected("key '" + key + "' has characters outside [a-z0-9/_.-] or is empty");
}

void checkValue(const std::string &key, const std::string &value)
{
    if (value.size() > maxValueBytes)
        throw StoreRejected("the value of key '" + key + "' has " + std::to_string(value.size())
                            + " bytes, at most " + std::to_string(maxValueBytes) + " are allowed");
}

std::string encodeBody(const std::string &key, const std::string &value, StoreVersion expected)
{
    try {
        return json {{"value", value}, {"expect_version", expected.count()}}.dump();
    } catch (const json::exception &) {
        throw StoreRejected("the value of key '" + key + "' is not UTF-8 text");
    }
}

StoreVersion versionOf(const json &document)
{
    return StoreVersion(document.at("version").get<std::uint64_t>());
}

/** Parses the response to a write; if it is malformed, the outcome is unknown. */
StoreVersion parseVersion(const HttpAnswer &answer, const std::string &what)
{
    try {
        return versionOf(json::parse(answer.body));
    } catch (const json::exception &error) {
        throw StoreOutcomeUnknown(what + ": malformed response: " + error.what());
    }
}

std::optional<StoredValue> parseValue(const HttpAnswer &answer, const std::string &what)
{
    if (answer.status == NotFound || answer.status == NoContent)
        return std::nullopt;
    try {
        const json document = json::parse(answer.body);
        return StoredValue {.value = document.at("value").get<std::string>(),
                            .version = versionOf(document)};
    } catch (const json::exception &error) {
        throw StoreUnavailable(what + ": malformed response: " + error.what());
    }
}

std::string describeStatus(const std::string &what, const HttpAnswer &answer)
{
    return what + ": status " + std::to_string(answer.status);
}

bool isRejection(long status)
{
    return status == BadRequest || status == TooLarge;
}

} // namespace

HttpStore::HttpStore(HttpStoreOptions options)
    : options_(std::move(options))
    , endpoints_(options_.endpoints)
    , pool_(options_.maxIdleHandles)
{ }

std::optional<StoredValue> HttpStore::get(const std::string &key)
{
    checkKey(key);
    return read("/kv/" + key, options_.requestTimeout);
}

StoreVersion HttpStore::put(const std::string &key, const std::string &value, StoreVersion expected)
{
    checkKey(key);
    checkValue(key, value);
    const std::string path = "/kv/" + key;
    const HttpCall call {.method = "PUT", .body = encodeBody(key, value, expected)};
    const HttpAnswer answer = write(call, path);
    const StoreVersion version = parseVersion(answer, "PUT " + path);
    if (answer.status == Conflict)
        throw StoreConflict(key, version);
    return version;
}

void HttpStore::remove(const std::string &key, StoreVersion expected)
{
    checkKey(key);
    const std::string path = "/kv/" + key;
    const HttpAnswer answer =
        write({.method = "DELETE"}, path + "?expect_version=" + std::to_string(expected.count()));
    if (answer.status == NotFound)
        throw StoreConflict(key, StoreVersion(0));
    if (answer.status == Conflict)
        throw StoreConflict(key, parseVersion(answer, "DELETE " + path));
}

std::optional<StoredValue> HttpStore::watch(const std::string &key, StoreVersion after,
                                            core::Millis wait)
{
    checkKey(key);
    const std::string path = "/watch/" + key + "?after_version=" + std::to_string(after.count())
        + "&wait_ms=" + std::to_string(wait.count());
    return read(path, options_.requestTimeout + wait);
}

std::optional<StoredValue> HttpStore::read(const std::string &path, core::Millis timeout)
{
    std::string failures;
    std::optional<StoredValue> value;
    const bool answered = endpoints_.tryUntilAnswered([&](const std::string &base) {
        const std::string what = "GET " + base + path;
        try {
            const HttpAnswer answer = pool_.perform({.url = base + path,
                                                     .connectTimeout = options_.connectTimeout,
                                                     .timeout = timeout});
            if (isRejection(answer.status))
                throw StoreRejected(describeStatus(what, answer));
            if (answer.status == Ok || answer.status == NoContent || answer.status == NotFound) {
                value = parseValue(answer, what);
                return true;
            }
            failures += describeStatus(what, answer) + "; ";
        } catch (const HttpCallFailed &error) {
            failures += std::string(error.what()) + "; ";
        } catch (const StoreUnavailable &error) {
            failures += std::string(error.what()) + "; ";
        }
        return false;
    });
    if (!answered)
        throw StoreUnavailable("no endpoint of the store answered: " + failures);
    return value;
}

HttpAnswer HttpStore::write(const HttpCall &prototype, const std::string &path)
{
    std::string failures;
    HttpAnswer answer;
    // Another endpoint is tried only if the write was certainly not applied. A retry of an applied
    // write would report a conflict with the caller's own write.
    const bool answered = endpoints_.tryUntilAnswered([&](const std::string &base) {
        HttpCall call = prototype;
        call.url = base + path;
        call.connectTimeout = options_.connectTimeout;
        call.timeout = options_.requestTimeout;
        call.freshConnection = true;
        const std::string what = call.method + " " + call.url;
        try {
            answer = pool_.perform(call);
        } catch (const HttpCallFailed &error) {
            if (error.possiblySent())
                throw StoreOutcomeUnknown(error.what());
            failures += std::string(error.what()) + "; ";
            return false;
        }
        if (answer.status == Unavailable) {
            failures += describeStatus(what, answer) + "; ";
            return false;
        }
        if (isRejection(answer.status))
            throw StoreRejected(describeStatus(what, answer));
        if (answer.status != Ok && answer.status != NotFound && answer.status != Conflict)
            throw StoreOutcomeUnknown(describeStatus(what, answer));
        return true;
    });
    if (!answered)
        throw StoreUnavailable("no endpoint of the store answered: " + failures);
    return answer;
}

} // namespace teaselreach::store
