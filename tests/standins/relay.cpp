/** @file relay.cpp TCP relay that can stop each direction. */
#include "standins/relay_base.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teaselreach::standins {

namespace {

// How soon a loop notices a changed cut or the end of the relay.
constexpr int pollMs = 10;
constexpr std::size_t maxConnections = 256;

bool readable(pollfd &entry)
{
    return (entry.revents & (POLLIN | POLLHUP | POLLERR)) != 0;
}

bool sendAll(int socket, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(socket, data, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

void limitSendTime(int socket)
{
    // A receiver that does not read must not keep the relay from stopping.
    const timeval limit {.tv_sec = 5, .tv_usec = 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

} // namespace

Relay::Relay(const ListenOptions &listen, ListenOptions target)
    : address_(listen.address)
    , target_(std::move(target))
    , listener_(listenOn(listen))
    , acceptor_([this] { acceptLoop(); })
{ }

Relay::~Relay()
{
    stopping_ = true;
    acceptor_.join();
    connections_.clear();
    close(listener_);
}

std::string Relay::url() const
{
    return "http://" + address_ + ":" + std::to_string(boundPort(listener_));
}

void Relay::setCuts(const RelayCuts &cuts)
{
    cutToTarget_ = cuts.toTarget;
    cutToCaller_ = cuts.toCaller;
}

Answer Relay::handleAdmin(const Request &request)
{
    if (request.path != "/admin/faults" || request.method != "POST")
        return {.status = 404};
    const auto document = nlohmann::json::parse(request.body);
    setCuts({.toTarget = document.value("cut_to_target", false),
             .toCaller = document.value("cut_to_caller", false)});
    return jsonAnswer(200, document);
}

void Relay::acceptLoop()
{
    while (!stopping_) {
        pollfd entry {.fd = listener_, .events = POLLIN, .revents = 0};
        if (poll(&entry, 1, pollMs) <= 0)
            continue;
        const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller < 0)
            continue;
        if (connections_.size() >= maxConnections) {
            close(caller);
            continue;
        }
        connections_.emplace_back([this, caller] { connectionLoop(caller); });
    }
}

void Relay::connectionLoop(int caller)
{
    const int target = connectTarget();
    limitSendTime(caller);
    Direction toTarget {.from = caller, .to = target, .cut = &cutToTarget_};
    Direction toCaller {.from = target, .to = caller, .cut = &cutToCaller_};
    bool open = target >= 0;
    while (open && !stopping_ && !(toTarget.ended && toCaller.ended)) {
        std::array<pollfd, 2> entries {};
        const std::array<Direction *, 2> directions {&toTarget, &toCaller};
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const Direction &direction = *directions[i];
            const bool watched = !direction.ended && !*direction.cut;
            entries[i] = {.fd = watched ? direction.from : -1, .events = POLLIN, .revents = 0};
        }
        if (poll(entries.data(), entries.size(), pollMs) <= 0)
            continue;
        for (std::size_t i = 0; i < entries.size() && open; ++i)
            if (entries[i].fd >= 0 && readable(entries[i]))
                open = forward(*directions[i]);
    }
    close(caller);
    if (target >= 0)
        close(target);
}

bool Relay::forward(Direction &direction) const
{
    std::array<char, 16384> buffer;
    const ssize_t count = recv(direction.from, buffer.data(), buffer.size(), 0);
    if (count < 0)
        return false;
    if (count == 0) {
        direction.ended = true;
        shutdown(direction.to, SHUT_WR);
        return true;
    }
    return sendAll(direction.to, buffer.data(), static_cast<std::size_t>(count));
}

int Relay::connectTarget() const
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(target_.port);
    inet_pton(AF_INET, target_.address.c_str(), &address.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        limitSendTime(descriptor);
        return descriptor;
    }
    close(descriptor);
    return -1;
}

} // namespace teaselreach::standins
