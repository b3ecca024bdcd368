#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Blocking sockets and as much of HTTP/1.1 as the stand-ins need.

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// A loopback address that no other run on this machine uses.
const std::string &ownHost();

/// An IPv4 address and a port.
struct Address
{
    std::string host = ownHost();
    int port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

/// A connected TCP socket, closed at the end of its life.
class Connection
{
public:
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::shared_ptr<Connection> open(const Address &address);

    /// Returns false if the peer has closed or reset the connection.
    bool write(std::string_view bytes);
    /// Appends what arrives until \p until. Returns false at the end of the connection and on
    /// timeout; timedOut() tells which.
    bool read(std::string &buffer, TimePoint until);
    bool timedOut() const { return m_timedOut; }
    /// Wakes up a thread that reads or writes.
    void shutDown();
    /// Closes the connection with a reset.
    void reset();

private:
    int m_fd;
    bool m_timedOut = false;
};

struct HttpField
{
    std::string name;
    std::string value;
};

struct HttpMessage
{
    std::string startLine;
    std::vector<HttpField> fields;
    std::string body;
    bool complete = false; ///< The body is whole.

    std::string field(std::string_view name) const;
    /// Of a request: "GET /path HTTP/1.1".
    std::string method() const;
    std::string target() const;
    /// Of a response; 0 if there was none.
    int status() const;
};

/// Reads messages from one connection.
class HttpReader
{
public:
    explicit HttpReader(Connection &connection)
        : m_connection(connection)
    {
    }

    /// Called with each piece of a body as it arrives.
    using BodyCallback = std::function<void(std::string_view)>;

    /// Returns false if no whole head arrived. HttpMessage::complete tells whether the body did.
    bool read(HttpMessage &message, TimePoint until, const BodyCallback &onBody = {});

private:
    bool readBody(HttpMessage &message, TimePoint until, const BodyCallback &onBody);
    bool readChunks(HttpMessage &message, TimePoint until, const BodyCallback &onBody);
    bool fill(TimePoint until) { return m_connection.read(m_buffer, until); }

    Connection &m_connection;
    std::string m_buffer;
};

/// Accepts connections and serves each of them on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Connection>)>;

    /// Listens on a free port.
    explicit Server(Handler handler);

    const Address &address() const { return m_address; }

private:
    Address m_address;
};

/// A free port of ownHost().
int freePort();

std::string queryParameter(const std::string &target, const std::string &name);
std::string encodeBase64(std::string_view text);

} // namespace review
