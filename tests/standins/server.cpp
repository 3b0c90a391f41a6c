/** @file server.cpp HTTP server shared by the stand-ins. */
#include "standins/server_base.h"

#include <nlohmann/json.hpp>
#include <ulfius.h>

#include <arpa/inet.h>
#include <csignal>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselreach::standins {

namespace {

constexpr int listenBacklog = 512;
constexpr unsigned int idleTimeoutSeconds = 120;

using PeerAddress = std::pair<std::uint32_t, std::uint16_t>;

PeerAddress peerOf(const sockaddr *address)
{
    const auto *ipv4 = reinterpret_cast<const sockaddr_in *>(address);
    return {ipv4->sin_addr.s_addr, ipv4->sin_port};
}

std::map<std::string, std::string> copyMap(const _u_map *source, bool lowerCase)
{
    std::map<std::string, std::string> copy;
    const char **keys = u_map_enum_keys(source);
    for (; keys != nullptr && *keys != nullptr; ++keys) {
        std::string name = *keys;
        if (lowerCase)
            for (char &c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const char *value = u_map_get(source, *keys);
        copy[name] = value == nullptr ? "" : value;
    }
    return copy;
}

struct CutBody
{
    std::string body;
    std::size_t limit;
};

ssize_t sendCutBody(void *data, std::uint64_t offset, char *out, std::size_t max)
{
    const auto &cut = *static_cast<CutBody *>(data);
    if (offset >= cut.limit)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    const std::size_t count = std::min(max, cut.limit - static_cast<std::size_t>(offset));
    cut.body.copy(out, count, static_cast<std::size_t>(offset));
    return static_cast<ssize_t>(count);
}

void freeCutBody(void *data)
{
    delete static_cast<CutBody *>(data);
}

bool connectionClosed(int socket)
{
    pollfd state {.fd = socket, .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

struct Server::Impl
{
    explicit Impl(Handler requestHandler)
        : handler(std::move(requestHandler))
    { }

    /** Keeps the socket of each connection, which ulfius does not pass to its callbacks. */
    static void connectionChanged(void *self, MHD_Connection *connection, void **,
                                  MHD_ConnectionNotificationCode code)
    {
        auto &impl = *static_cast<Impl *>(self);
        const auto *address =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        const auto *socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (address == nullptr || socket == nullptr)
            return;
        const std::lock_guard lock(impl.mutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            impl.sockets[peerOf(address->client_addr)] = socket->connect_fd;
        else
            impl.sockets.erase(peerOf(address->client_addr));
    }

    static int handleRequest(const _u_request *source, _u_response *target, void *self)
    {
        return static_cast<Impl *>(self)->handle(*source, *target);
    }

    int socketOf(const _u_request &source)
    {
        const std::lock_guard lock(mutex);
        const auto found = sockets.find(peerOf(source.client_address));
        return found == sockets.end() ? -1 : found->second;
    }

    int handle(const _u_request &source, _u_response &target)
    {
        const int socket = socketOf(source);
        Request request {.method = source.http_verb,
                         .path = source.url_path,
                         .query = copyMap(source.map_url, false),
                         .headers = copyMap(source.map_header, true),
                         .callerGone = [socket] { return connectionClosed(socket); }};
        if (source.binary_body_length > 0)
            request.body.assign(static_cast<const char *>(source.binary_body),
                                source.binary_body_length);
        Answer answer;
        try {
            answer = handler(request);
        } catch (const std::exception &error) {
            answer = {.status = 400, .body = std::string(error.what()) + "\n"};
        }
        if (answer.lost)
            shutdown(socket, SHUT_RDWR);
        fill(answer, target);
        return U_CALLBACK_COMPLETE;
    }

    static void fill(const Answer &answer, _u_response &target)
    {
        for (const auto &[name, value] : answer.headers)
            ulfius_add_header_to_response(&target, name.c_str(), value.c_str());
        target.status = answer.status;
        // ulfius ignores status and body together if the body is empty.
        if (answer.body.empty())
            return;
        if (!answer.cutAfter) {
            ulfius_set_binary_body_response(&target, static_cast<unsigned int>(answer.status),
                                            answer.body.data(), answer.body.size());
            return;
        }
        auto cut = std::make_unique<CutBody>(CutBody {answer.body, *answer.cutAfter});
        ulfius_set_stream_response(&target, static_cast<unsigned int>(answer.status), &sendCutBody,
                                   &freeCutBody, answer.body.size(), 4096, cut.release());
    }

    Handler handler;
    std::string address;
    std::uint16_t port = 0;
    std::mutex mutex;
    std::map<PeerAddress, int> sockets;
    _u_instance instance {};
};

Server::Server(const ListenOptions &listen, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(handler)))
{
    const int socket = listenOn(listen);
    impl_->address = listen.address;
    impl_->port = boundPort(socket);
    if (ulfius_init_instance(&impl_->instance, impl_->port, nullptr, nullptr) != U_OK)
        throw std::runtime_error("ulfius cannot create an instance");
    ulfius_set_default_endpoint(&impl_->instance, &Impl::handleRequest, impl_.get());
    const auto pointer = [](auto *function) { return reinterpret_cast<std::intptr_t>(function); };
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, pointer(&mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, pointer(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION, pointer(&Impl::connectionChanged), impl_.get()},
        {MHD_OPTION_LISTEN_SOCKET, socket, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    constexpr unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&impl_->instance, flags, options) != U_OK) {
        ulfius_clean_instance(&impl_->instance);
        throw std::runtime_error("ulfius cannot start on " + listen.address);
    }
}

Server::~Server()
{
    ulfius_stop_framework(&impl_->instance);
    ulfius_clean_instance(&impl_->instance);
}

std::uint16_t Server::port() const
{
    return impl_->port;
}

std::string Server::url() const
{
    return "http://" + impl_->address + ":" + std::to_string(impl_->port);
}

Answer jsonAnswer(int status, const nlohmann::json &document)
{
    // Bytes that are not UTF-8 are replaced: an echo must not fail on them.
    return {.status = status,
            .body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n",
            .headers = {{"Content-Type", "application/json"}}};
}

std::int64_t queryInt(const Request &request, const std::string &name, std::int64_t fallback)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
}

int listenOn(const ListenOptions &listen)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen.port);
    if (inet_pton(AF_INET, listen.address.c_str(), &address.sin_addr) != 1
        || (ntohl(address.sin_addr.s_addr) >> 24U) != 127)
        throw std::runtime_error("'" + listen.address + "' is not a loopback address");
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(descriptor, listenBacklog) != 0) {
        close(descriptor);
        throw std::runtime_error("cannot listen on " + listen.address + ":"
                                 + std::to_string(listen.port));
    }
    return descriptor;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal(const std::string &name, const std::string &url)
{
    std::cout << "ready " << name << " " << url << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace teaselreach::standins
