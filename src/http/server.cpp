/** @file server.cpp HTTP server based on ulfius; passes complete requests to one handler. */
#include "http/connection_table_internal.h"
#include "http/headers_func.h"
#include "http/server_base.h"

#include <ulfius.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace teaselreach::http {

namespace {

using detail::ConnectionKey;

constexpr int checksPerRequestTimeout = 8; ///< Bounds how late a timeout is detected.
constexpr unsigned int connectionLimit = 4096;

ConnectionKey keyOf(const sockaddr *address)
{
    const auto *peer = reinterpret_cast<const sockaddr_in *>(address);
    return (ConnectionKey {peer->sin_addr.s_addr} << 16) | peer->sin_port;
}

ConnectionKey keyOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    return keyOf(info->client_addr);
}

ServerRequest readRequest(const _u_request *request)
{
    ServerRequest read {.method = request->http_verb,
                        .target = request->http_url,
                        .receivedAt = core::MonoClock::now()};
    read.path = read.target.substr(0, read.target.find('?'));
    const char **names = u_map_enum_keys(request->map_header);
    for (int i = 0; names != nullptr && names[i] != nullptr; ++i) {
        const char *value = u_map_get(request->map_header, names[i]);
        read.headers.push_back({names[i], value == nullptr ? "" : value});
    }
    if (request->binary_body_length > 0)
        read.body.assign(static_cast<const char *>(request->binary_body),
                         request->binary_body_length);
    return read;
}

/** Joins fields of the same name, since ulfius stores one value per name. */
void writeHeaders(const Headers &headers, _u_map *map)
{
    for (const Header &header : headers) {
        const char *before = u_map_get_case(map, header.name.c_str());
        if (before == nullptr) {
            u_map_put(map, header.name.c_str(), header.value.c_str());
            continue;
        }
        const std::string joined = std::string(before) + ", " + header.value;
        u_map_remove_from_key_case(map, header.name.c_str());
        u_map_put(map, header.name.c_str(), joined.c_str());
    }
}

void writeResponse(const ServerResponse &response, _u_response *out)
{
    ulfius_set_binary_body_response(out, static_cast<unsigned int>(response.status),
                                    response.body.data(), response.body.size());
    writeHeaders(response.headers, out->map_header);
    if (response.closeConnection)
        u_map_put(out->map_header, "Connection", "close");
}

/** @return The bytes of a response that is sent without the library. */
std::string serializeResponse(const ServerResponse &response)
{
    std::string raw = "HTTP/1.1 " + std::to_string(response.status) + " Refused\r\n";
    for (const Header &header : response.headers)
        raw += header.name + ": " + header.value + "\r\n";
    raw += "Connection: close\r\nContent-Length: " + std::to_string(response.body.size());
    return raw + "\r\n\r\n" + response.body;
}

} // namespace

/** The ulfius instance, its connections and the thread that enforces the request timeout. */
class Server::Impl
{
public:
    Impl(ServerOptions options, ServerHandlers handlers)
        : options_(std::move(options))
        , handlers_(std::move(handlers))
    {
        start();
        timeoutThread_ = std::thread([this] { enforceRequestTimeout(); });
    }

    ~Impl() { stop(); }

    void stop()
    {
        if (!running_)
            return;
        running_ = false;
        {
            const std::lock_guard lock(stopMutex_);
            stopping_ = true;
        }
        stopSignal_.notify_all();
        timeoutThread_.join();
        ulfius_stop_framework(&instance_);
        ulfius_clean_instance(&instance_);
    }

    detail::ConnectionTable &connections() { return connections_; }

private:
    void start()
    {
        const std::string where = options_.address + ":" + std::to_string(options_.port);
        sockaddr_in address {.sin_family = AF_INET, .sin_port = htons(options_.port)};
        inet_pton(AF_INET, options_.address.c_str(), &address.sin_addr);
        if (ulfius_init_instance(&instance_, options_.port, &address, nullptr) != U_OK)
            throw ServerUnavailable("ulfius cannot be initialised for " + where);
        // One byte more than allowed, so that a body over the limit is distinguishable.
        instance_.max_post_body_size = options_.maxBodyBytes + 1;
        instance_.check_utf8 = 0;
        instance_.allowed_post_processor = U_POST_PROCESS_NONE;
        ulfius_set_default_endpoint(&instance_, &onUlfiusRequest, this);
        if (startFramework(address) != U_OK) {
            ulfius_clean_instance(&instance_);
            throw ServerUnavailable("cannot listen on " + where);
        }
        running_ = true;
    }

    int startFramework(sockaddr_in &address)
    {
        const auto pointer = [](auto function) { return reinterpret_cast<intptr_t>(function); };
        const auto idleSeconds = static_cast<intptr_t>(options_.idleTimeout.count());
        std::array<MHD_OptionItem, 7> options {{
            {MHD_OPTION_NOTIFY_COMPLETED, pointer(&onCompleted), this},
            {MHD_OPTION_URI_LOG_CALLBACK, pointer(&ulfius_uri_logger), nullptr},
            {MHD_OPTION_NOTIFY_CONNECTION, pointer(&onConnection), this},
            {MHD_OPTION_SOCK_ADDR, 0, &address},
            {MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds, nullptr},
            {MHD_OPTION_CONNECTION_LIMIT, connectionLimit, nullptr},
            {MHD_OPTION_END, 0, nullptr},
        }};
        return ulfius_start_framework_with_mhd_options(
            &instance_, MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
            options.data());
    }

    ServerResponse answer(const _u_request *request) const
    {
        if (request->binary_body_length > options_.maxBodyBytes)
            return handlers_.onFault(ReceiveError::BodyTooLarge);
        return handlers_.onRequest(readRequest(request));
    }

    static int onUlfiusRequest(const _u_request *request, _u_response *response, void *data)
    {
        auto &self = *static_cast<Impl *>(data);
        self.connections_.requestReceived(keyOf(request->client_address));
        try {
            writeResponse(self.answer(request), response);
        } catch (const std::exception &) {
            // An exception must not pass through the C library; ulfius answers with status 500.
            return U_CALLBACK_ERROR;
        }
        return U_CALLBACK_COMPLETE;
    }

    static void onCompleted(void *data, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode code)
    {
        static_cast<Impl *>(data)->connections_.requestCompleted(keyOf(connection));
        mhd_request_completed(nullptr, connection, context, code);
    }

    static void onConnection(void *data, MHD_Connection *connection, void **,
                             MHD_ConnectionNotificationCode code)
    {
        detail::ConnectionTable &table = static_cast<Impl *>(data)->connections_;
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            table.remove(keyOf(connection));
            return;
        }
        const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        table.add(keyOf(connection), info->connect_fd);
    }

    void enforceRequestTimeout()
    {
        const core::Millis interval =
            std::max(core::Millis(1), options_.requestTimeout / checksPerRequestTimeout);
        const auto makeResponse = [this] {
            return serializeResponse(handlers_.onFault(ReceiveError::RequestTimeout));
        };
        std::unique_lock lock(stopMutex_);
        while (!stopSignal_.wait_for(lock, interval, [this] { return stopping_; }))
            connections_.closeTimedOut(core::MonoClock::now(), options_.requestTimeout,
                                       makeResponse);
    }

    ServerOptions options_;
    ServerHandlers handlers_;
    detail::ConnectionTable connections_;
    _u_instance instance_ {};
    bool running_ = false;
    std::mutex stopMutex_;
    std::condition_variable stopSignal_;
    bool stopping_ = false;
    std::thread timeoutThread_;
};

Server::Server(ServerOptions options, ServerHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handlers)))
{ }

Server::~Server() = default;

void Server::waitUntilIdle()
{
    impl_->connections().waitUntilIdle();
}

void Server::stop()
{
    impl_->stop();
}

int Server::inFlight() const
{
    return impl_->connections().inFlight();
}

} // namespace teaselreach::http
