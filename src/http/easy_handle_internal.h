/** @file easy_handle_internal.h One libcurl handle with its persistent connection. */
#pragma once

#include "http/http_type.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace teaselreach::http::detail {

/** State that the libcurl callbacks collect during one exchange. */
struct Exchange
{
    std::size_t maxResponseBytes = 0;
    bool sent = false;          ///< A connection was assigned to the request.
    bool resendBlocked = false; ///< An automatic resend by libcurl was prevented.
    bool headersDone = false;
    bool malformed = false; ///< The status line or a field of the header section is not valid.
    bool tooLarge = false;
    bool chunked = false;
    bool hasLength = false;
    int status = 0;
    Headers headers;
    std::string body;
};

/** One libcurl easy handle; one exchange at a time. */
class EasyHandle
{
public:
    /** @throws ClientUnavailable if libcurl cannot allocate a handle. */
    EasyHandle();

    /** Performs one exchange; see Client::send(). */
    Result perform(const std::string &server, const Request &request, const ClientOptions &options,
                   core::Millis timeout);

private:
    struct HandleDeleter
    {
        void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
    };
    struct ListDeleter
    {
        void operator()(curl_slist *list) const { curl_slist_free_all(list); }
    };
    using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

    static HeaderList makeHeaderList(const Headers &headers);
    void setMethod(const Request &request);
    void setLimits(const ClientOptions &options, core::Millis timeout);
    void setCallbacks(Exchange &exchange);

    std::unique_ptr<CURL, HandleDeleter> handle_;
};

} // namespace teaselreach::http::detail
