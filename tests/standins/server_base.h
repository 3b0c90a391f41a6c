/** @file server_base.h HTTP server shared by the stand-ins, with control over lost answers. */
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace teaselreach::standins {

/** A request as the server received it. */
struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::function<bool()> callerGone; ///< Whether the caller has closed its connection.
};

/** What the server sends back. */
struct Answer
{
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
    bool lost = false; ///< Closes the connection without sending anything.
    /** Announces the whole body, sends this many bytes of it and closes the connection. */
    std::optional<std::size_t> cutAfter;
};

/** Handles one request; called from several threads. Exceptions become status 400. */
using Handler = std::function<Answer(const Request &)>;

/** Where a stand-in listens. */
struct ListenOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 = a free port.
};

/** One ulfius instance with a thread for each connection. */
class Server
{
public:
    /**
     * Starts to listen.
     * @param listen A loopback address and a port.
     * @param handler Called for every request.
     * @throws std::runtime_error if the address cannot be used.
     */
    Server(const ListenOptions &listen, Handler handler);
    /** Waits for the requests in progress; a handler that waits must be woken before. */
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** @return The port in use. */
    std::uint16_t port() const;
    /** @return The base URL without a trailing slash. */
    std::string url() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** @return An answer with a JSON body. */
Answer jsonAnswer(int status, const nlohmann::json &document);

/** @return The integer query parameter, or the fallback if it is absent. */
std::int64_t queryInt(const Request &request, const std::string &name, std::int64_t fallback);

/** Opens a listening TCP socket. @return Its descriptor. @throws std::runtime_error */
int listenOn(const ListenOptions &listen);

/** @return The port that a bound socket has. */
std::uint16_t boundPort(int socket);

/** Blocks SIGINT and SIGTERM in all threads started later; call first in main(). */
void blockStopSignals();

/** Prints one line `ready NAME URL` and waits for SIGINT or SIGTERM. */
void waitForStopSignal(const std::string &name, const std::string &url);

} // namespace teaselreach::standins
