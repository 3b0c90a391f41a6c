/** @file http_pool.cpp HTTP calls to the platform's services through libcurl. */
#include "store/http_pool_base.h"

#include <curl/curl.h>

#include <stdexcept>

namespace teaselreach::store {

namespace {

// A value of 1 MB grows up to sixfold when JSON escapes every byte of it.
constexpr std::size_t maxAnswerBytes = 8'000'000;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > maxAnswerBytes)
        return 0;
    body.append(data, bytes);
    return bytes;
}

struct HeaderListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

HeaderList makeHeaderList()
{
    curl_slist *list = curl_slist_append(nullptr, "Content-Type: application/json");
    // Without this, libcurl waits for "100 Continue" before it sends a large body.
    return HeaderList(curl_slist_append(list, "Expect:"));
}

void setOptions(CURL *handle, const HttpCall &call, curl_slist *headers, std::string &answerBody)
{
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, call.freshConnection ? 1L : 0L);
    // libcurl must not use signals for timeouts in a multithreaded program.
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answerBody);
    if (call.body.empty())
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
}

/** @return Whether a connection was established, so that bytes may have been sent. */
bool mayHaveSent(CURL *handle, CURLcode result)
{
    if (result == CURLE_COULDNT_CONNECT || result == CURLE_COULDNT_RESOLVE_HOST)
        return false;
    curl_off_t connectTime = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    return connectTime > 0 || requestBytes > 0;
}

/** libcurl calls this about once a second; a result other than 0 ends the call. */
int abortIfCancelled(void *cancelled, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<const std::atomic<bool> *>(cancelled)->load() ? 1 : 0;
}

} // namespace

void HttpPool::CloseHandle::operator()(void *handle) const
{
    curl_easy_cleanup(handle);
}

HttpPool::HttpPool(std::size_t maxIdle)
    : maxIdle_(maxIdle)
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialized != CURLE_OK)
        throw HttpCallFailed("libcurl cannot be initialized", false);
}

HttpPool::~HttpPool() = default;

HttpAnswer HttpPool::perform(const HttpCall &call)
{
    Handle handle = acquire();
    const HeaderList headers = makeHeaderList();
    HttpAnswer answer;
    setOptions(handle.get(), call, headers.get(), answer.body);
    curl_easy_setopt(handle.get(), CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle.get(), CURLOPT_XFERINFOFUNCTION, abortIfCancelled);
    curl_easy_setopt(handle.get(), CURLOPT_XFERINFODATA, &cancelled_);
    const CURLcode result = curl_easy_perform(handle.get());
    if (result != CURLE_OK) {
        const bool possiblySent = mayHaveSent(handle.get(), result);
        throw HttpCallFailed(call.method + " " + call.url + ": " + curl_easy_strerror(result),
                             possiblySent);
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    release(std::move(handle));
    return answer;
}

HttpPool::Handle HttpPool::acquire()
{
    {
        const std::lock_guard lock(mutex_);
        if (!idle_.empty()) {
            Handle handle = std::move(idle_.back());
            idle_.pop_back();
            return handle;
        }
    }
    Handle handle(curl_easy_init());
    if (!handle)
        throw HttpCallFailed("libcurl cannot create a handle", false);
    return handle;
}

void HttpPool::release(Handle handle)
{
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maxIdle_)
        idle_.push_back(std::move(handle));
}

EndpointList::EndpointList(std::vector<std::string> urls)
    : urls_(std::move(urls))
{
    if (urls_.empty())
        throw std::invalid_argument("a service needs at least one endpoint");
}

bool EndpointList::tryUntilAnswered(const std::function<bool(const std::string &)> &attempt)
{
    const std::size_t first = preferred_.load();
    for (std::size_t i = 0; i < urls_.size(); ++i) {
        const std::size_t index = (first + i) % urls_.size();
        if (!attempt(urls_[index]))
            continue;
        preferred_ = index;
        return true;
    }
    return false;
}

} // namespace teaselreach::store
