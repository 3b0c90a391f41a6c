// Small blocking HTTP/1.1 server and client on loopback addresses, one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline double secondsBetween(Time from, Time to)
{
    return std::chrono::duration<double>(to - from).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

struct Address
{
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in raw() const
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }
};

inline Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

// A request or a response. Header names are in lower case.
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Time readAt {};
    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers)
            if (key == name)
                return value;
        return "";
    }
};

// Reads from a socket until a deadline.
class Stream
{
public:
    explicit Stream(int fd)
        : fd_(fd)
    { }
    // Returns false at the end of the stream, on an error or at the deadline.
    bool fill(Time deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd state {.fd = fd_, .events = POLLIN, .revents = 0};
        if (left <= 0 || poll(&state, 1, static_cast<int>(std::min<long>(left, 1000000))) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        data_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    // Reads one message with a length or in chunks; a response without either ends with its
    // connection.
    bool read(Message &message, bool isRequest, Time deadline)
    {
        std::size_t end;
        while ((end = data_.find("\r\n\r\n")) == std::string::npos)
            if (!fill(deadline))
                return false;
        std::string head = data_.substr(0, end + 2);
        data_.erase(0, end + 4);
        const std::size_t line = head.find("\r\n");
        const std::string first = head.substr(0, line);
        if (isRequest) {
            const std::size_t a = first.find(' '), b = first.rfind(' ');
            message.method = first.substr(0, a);
            message.target = first.substr(a + 1, b - a - 1);
        } else {
            message.status = std::atoi(first.substr(9, 3).c_str());
        }
        for (std::size_t at = line + 2; at < head.size();) {
            const std::size_t stop = head.find("\r\n", at);
            const std::string field = head.substr(at, stop - at);
            const std::size_t colon = field.find(':');
            std::size_t value = colon + 1;
            while (value < field.size() && field[value] == ' ')
                ++value;
            message.headers.emplace_back(lower(field.substr(0, colon)), field.substr(value));
            at = stop + 2;
        }
        const std::string length = message.header("content-length");
        if (lower(message.header("transfer-encoding")).find("chunked") != std::string::npos)
            return readChunks(message, deadline);
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (data_.size() < size)
            if (!fill(deadline))
                return false;
        message.body = data_.substr(0, size);
        data_.erase(0, size);
        message.readAt = Clock::now();
        return true;
    }

private:
    bool readChunks(Message &message, Time deadline)
    {
        while (true) {
            std::size_t end;
            while ((end = data_.find("\r\n")) == std::string::npos)
                if (!fill(deadline))
                    return false;
            const std::size_t size = std::stoul(data_.substr(0, end), nullptr, 16);
            while (data_.size() < end + 2 + size + 2)
                if (!fill(deadline))
                    return false;
            message.body += data_.substr(end + 2, size);
            data_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                message.readAt = Clock::now();
                return true;
            }
        }
    }
    int fd_;
    std::string data_;
};

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// A response without a status closes the connection without an answer.
struct Response
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool close = false;
    std::string text() const
    {
        std::string result = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
        for (const auto &[name, value] : headers)
            result += name + ": " + value + "\r\n";
        if (close)
            result += "Connection: close\r\n";
        return result + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

class Server
{
public:
    using Handler = std::function<Response(const Message &)>;
    Server(const Address &address, Handler handler)
        : handler_(std::move(handler))
        , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in raw = address.raw();
        if (bind(listener_, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0
            || listen(listener_, 512) != 0)
            throw std::runtime_error("cannot listen at " + address.text());
        std::thread([this] { acceptAll(); }).detach();
    }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleepMs(5);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        Stream stream(fd);
        Message request;
        while (stream.read(request, true, Clock::now() + std::chrono::seconds(120))) {
            const Response response = handler_(request);
            if (response.status == 0 || !sendAll(fd, response.text()) || response.close)
                break;
            request = {};
        }
        close(fd);
    }
    Handler handler_;
    int listener_;
};

// The result of one exchange of a client. Status 0: no complete answer.
struct Exchange
{
    int status = 0;
    Message response;
    bool connected = false;
};

inline int connectTo(const Address &address, milliseconds timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in raw = address.raw();
    if (connect(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0) {
        pollfd state {.fd = fd, .events = POLLOUT, .revents = 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&state, 1, static_cast<int>(timeout.count())) <= 0
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    // Blocking again.
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int mode = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, mode & ~O_NONBLOCK);
    return fd;
}

inline Exchange exchangeOnce(const Address &address, const std::string &bytes, milliseconds timeout)
{
    Exchange result;
    const Time deadline = Clock::now() + timeout;
    const int fd = connectTo(address, std::min(timeout, milliseconds(1000)));
    if (fd < 0)
        return result;
    result.connected = true;
    Stream stream(fd);
    if (sendAll(fd, bytes) && stream.read(result.response, false, deadline))
        result.status = result.response.status;
    close(fd);
    return result;
}

} // namespace rig
