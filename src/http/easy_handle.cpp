/** @file easy_handle.cpp One libcurl handle with its persistent connection. */
#include "http/client_base.h"
#include "http/easy_handle_internal.h"
#include "http/headers_func.h"

#include <charconv>
#include <optional>

namespace teaselreach::http::detail {

namespace {

constexpr int firstStatus = 100;
constexpr int lastStatus = 599;
constexpr int firstFinalStatus = 200; ///< Lower (1xx) statuses are interim responses.
constexpr int noContentStatus = 204;
constexpr int notModifiedStatus = 304;

/** Called by libcurl before it sends a request; a second call means a resend. */
int onBeforeSend(void *data, char *, char *, int, int)
{
    auto &exchange = *static_cast<Exchange *>(data);
    if (exchange.sent) {
        exchange.resendBlocked = true;
        return CURL_PREREQFUNC_ABORT;
    }
    exchange.sent = true;
    return CURL_PREREQFUNC_OK;
}

std::string_view trimWhitespace(std::string_view text)
{
    constexpr std::string_view space = " \t\r\n";
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

/** @return The status code of a status line; nothing if HTTP/1 does not define it. */
std::optional<int> parseStatus(std::string_view line)
{
    constexpr std::string_view versionPrefix = "HTTP/1.";
    constexpr std::size_t codeAt = versionPrefix.size() + 2;
    constexpr std::size_t codeEnd = codeAt + 3;
    if (line.size() < codeEnd || !line.starts_with(versionPrefix) || line[codeAt - 1] != ' ')
        return std::nullopt;
    int status = 0;
    const auto [end, error] = std::from_chars(line.data() + codeAt, line.data() + codeEnd, status);
    const bool isNumber = error == std::errc() && end == line.data() + codeEnd;
    const std::string_view rest = line.substr(codeEnd);
    const bool isWhole = rest.empty() || rest.front() == ' ' || rest.front() == '\r';
    if (!isNumber || !isWhole || status < firstStatus || status > lastStatus)
        return std::nullopt;
    return status;
}

bool startResponse(Exchange &exchange, std::string_view statusLine)
{
    exchange.headers.clear();
    exchange.chunked = false;
    exchange.hasLength = false;
    const std::optional<int> status = parseStatus(statusLine);
    exchange.status = status.value_or(0);
    return status.has_value();
}

/** @return Whether the line is a valid field. One that begins with white space continues the line
 * before it; it is not valid either, since its sender may have meant a field of its own. */
bool addHeader(Exchange &exchange, std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return false;
    Header header {.name = std::string(line.substr(0, colon)),
                   .value = std::string(trimWhitespace(line.substr(colon + 1)))};
    if (!isFieldName(header.name) || !isFieldValue(header.value))
        return false;
    if (equalIgnoringCase(header.name, "transfer-encoding"))
        exchange.chunked = equalIgnoringCase(header.value, "chunked");
    if (equalIgnoringCase(header.name, "content-length"))
        exchange.hasLength = true;
    exchange.headers.push_back(std::move(header));
    return true;
}

/** @return Whether the line is a valid one of a header section. */
bool readHeaderLine(Exchange &exchange, std::string_view line)
{
    if (line.starts_with("HTTP/"))
        return startResponse(exchange, line);
    if (line != "\r\n" && line != "\n")
        return addHeader(exchange, line);
    exchange.headersDone = exchange.status >= firstFinalStatus;
    return true;
}

/** Called by libcurl for each line of a header or trailer section. @return The line's size, or 0 to
 * end the exchange. */
std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &exchange = *static_cast<Exchange *>(user);
    const std::string_view line(data, size * count);
    if (exchange.headersDone)
        return line.size(); // Trailer fields are not forwarded.
    exchange.malformed = !readHeaderLine(exchange, line);
    return exchange.malformed ? 0 : line.size();
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &exchange = *static_cast<Exchange *>(user);
    if (exchange.body.size() + size * count > exchange.maxResponseBytes) {
        exchange.tooLarge = true;
        return 0;
    }
    exchange.body.append(data, size * count);
    return size * count;
}

/** @return Whether the end of the response is known without the close of the connection. */
bool hasExplicitEnd(const Exchange &exchange, const std::string &method)
{
    const bool bodyless = method == "HEAD" || exchange.status == noContentStatus
        || exchange.status == notModifiedStatus;
    return exchange.headersDone && (bodyless || exchange.chunked || exchange.hasLength);
}

Cause failureCause(const Exchange &exchange, CURLcode code)
{
    if (exchange.tooLarge)
        return Cause::TooLarge;
    if (code == CURLE_OPERATION_TIMEDOUT && exchange.sent)
        return Cause::Timeout;
    return exchange.sent ? Cause::Truncated : Cause::Connect;
}

Result makeResult(Exchange &&exchange, CURLcode code, const std::string &method)
{
    if (code == CURLE_OK && hasExplicitEnd(exchange, method))
        return {.progress = Progress::Answered,
                .status = exchange.status,
                .headers = std::move(exchange.headers),
                .body = std::move(exchange.body)};
    std::string detail = curl_easy_strerror(code);
    if (exchange.resendBlocked)
        detail = "persistent connection was closed; automatic resend blocked";
    else if (exchange.malformed)
        detail = "malformed header section";
    else if (code == CURLE_OK)
        detail = "end of response not delimited by Content-Length or chunks";
    return {.progress = exchange.sent ? Progress::SentOnly : Progress::NotSent,
            .cause = failureCause(exchange, code),
            .detail = std::move(detail)};
}

} // namespace

EasyHandle::EasyHandle()
    : handle_(curl_easy_init())
{
    if (!handle_)
        throw ClientUnavailable("curl_easy_init failed");
}

Result EasyHandle::perform(const std::string &server, const Request &request,
                           const ClientOptions &options, core::Millis timeout)
{
    Exchange exchange {.maxResponseBytes = options.maxResponseBytes};
    // Resets the options of the previous exchange but keeps the connection.
    curl_easy_reset(handle_.get());
    const std::string url = "http://" + server + request.target;
    curl_easy_setopt(handle_.get(), CURLOPT_URL, url.c_str());
    const HeaderList headers = makeHeaderList(request.headers);
    curl_easy_setopt(handle_.get(), CURLOPT_HTTPHEADER, headers.get());
    setMethod(request);
    setLimits(options, timeout);
    setCallbacks(exchange);
    const CURLcode code = curl_easy_perform(handle_.get());
    return makeResult(std::move(exchange), code, request.method);
}

EasyHandle::HeaderList EasyHandle::makeHeaderList(const Headers &headers)
{
    HeaderList list;
    const auto append = [&list](const std::string &line) {
        curl_slist *longer = curl_slist_append(list.get(), line.c_str());
        if (longer == nullptr)
            throw ClientUnavailable("curl_slist_append failed");
        static_cast<void>(list.release());
        list.reset(longer);
    };
    // Without these, libcurl adds fields that the caller did not send.
    append("Expect:");
    append("Accept:");
    append("Content-Type:");
    for (const Header &header : headers) {
        // libcurl sends an empty field for "Name;" and removes the field for "Name:".
        append(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    return list;
}

void EasyHandle::setMethod(const Request &request)
{
    CURL *handle = handle_.get();
    const bool carriesBody =
        !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (carriesBody) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void EasyHandle::setLimits(const ClientOptions &options, core::Millis timeout)
{
    CURL *handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(options.maxIdleTime.count()));
}

void EasyHandle::setCallbacks(Exchange &exchange)
{
    CURL *handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, onBeforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &exchange);
}

} // namespace teaselreach::http::detail
