#include "Http.h"

#include <array>
#include <atomic>
#include <cstring>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int Backlog = 1024;
/// Below the ports that the kernel gives to connections.
constexpr int FirstPort = 20000;
constexpr int PortEnd = 32000;

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// Binds a socket to a free port and returns it with its address. Each port is dealt once, so that
/// one that was free for a daemon isn't taken by a server of this process meanwhile.
std::pair<int, Address> bindFree()
{
    static std::atomic<int> next = FirstPort;
    for (int port = next++; port < PortEnd; port = next++) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const Address address{ownHost(), port};
        const sockaddr_in bound = socketAddress(address);
        if (bind(fd, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0) {
            return {fd, address};
        }
        close(fd);
    }
    throw std::runtime_error("no free port");
}

} // namespace

const std::string &ownHost()
{
    static const std::string host = [] {
        const auto pid = static_cast<unsigned>(getpid());
        return "127." + std::to_string(64 + (pid >> 16) % 64) + "." + std::to_string(pid >> 8 & 255)
            + "." + std::to_string(pid & 255);
    }();
    return host;
}

Connection::Connection(int fd)
    : m_fd(fd)
{
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    close(m_fd);
}

std::shared_ptr<Connection> Connection::open(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::read(std::string &buffer, TimePoint until)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    pollfd waiting{m_fd, POLLIN, 0};
    m_timedOut = left <= 0 || poll(&waiting, 1, static_cast<int>(left) + 1) == 0;
    if (m_timedOut) {
        return false;
    }
    std::array<char, 64 * 1024> bytes;
    const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

void Connection::shutDown()
{
    shutdown(m_fd, SHUT_RDWR);
}

void Connection::reset()
{
    const linger withoutDelay{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &withoutDelay, sizeof withoutDelay);
}

std::string HttpMessage::field(std::string_view name) const
{
    for (const HttpField &field : fields) {
        if (field.name.size() == name.size()
            && strncasecmp(field.name.data(), name.data(), name.size()) == 0) {
            return field.value;
        }
    }
    return {};
}

std::string HttpMessage::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string HttpMessage::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int HttpMessage::status() const
{
    return startLine.starts_with("HTTP/") ? std::atoi(startLine.c_str() + startLine.find(' ')) : 0;
}

bool HttpReader::read(HttpMessage &message, TimePoint until, const BodyCallback &onBody)
{
    message = HttpMessage();
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return false;
        }
    }
    std::size_t lineEnd = m_buffer.find("\r\n");
    message.startLine = m_buffer.substr(0, lineEnd);
    while (lineEnd < end) {
        const std::size_t begin = lineEnd + 2;
        lineEnd = m_buffer.find("\r\n", begin);
        const std::string line = m_buffer.substr(begin, lineEnd - begin);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.fields.push_back(
            {line.substr(0, colon), value == std::string::npos ? "" : line.substr(value)});
    }
    m_buffer.erase(0, end + 4);
    const bool interim = message.status() >= 100 && message.status() < 200;
    if (interim) {
        return read(message, until, onBody);
    }
    message.complete = readBody(message, until, onBody);
    return true;
}

bool HttpReader::readBody(HttpMessage &message, TimePoint until, const BodyCallback &onBody)
{
    if (message.field("Transfer-Encoding") == "chunked") {
        return readChunks(message, until, onBody);
    }
    const std::string length = message.field("Content-Length");
    if (length.empty() && message.status() == 0) {
        return true; // A request without a body.
    }
    const std::size_t size = length.empty() ? SIZE_MAX : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!fill(until)) {
            message.body = std::exchange(m_buffer, {});
            return length.empty() && !m_connection.timedOut();
        }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    if (onBody) {
        onBody(message.body);
    }
    return true;
}

bool HttpReader::readChunks(HttpMessage &message, TimePoint until, const BodyCallback &onBody)
{
    while (true) {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        const std::size_t size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
        while (m_buffer.size() < end + 2 + size + 2) {
            if (!fill(until)) {
                return false;
            }
        }
        const std::string chunk = m_buffer.substr(end + 2, size);
        m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
            return true;
        }
        message.body += chunk;
        if (onBody) {
            onBody(chunk);
        }
    }
}

Server::Server(Handler handler)
{
    const auto [fd, address] = bindFree();
    m_address = address;
    if (listen(fd, Backlog) != 0) {
        throw std::runtime_error("listen " + m_address.text());
    }
    std::thread([fd = fd, handler = std::move(handler)] {
        while (true) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread(handler, std::make_shared<Connection>(accepted)).detach();
            }
        }
    }).detach();
}

int freePort()
{
    const auto [fd, address] = bindFree();
    close(fd);
    return address.port;
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string parameter = target.substr(at + 1, end - at - 1);
        if (parameter.starts_with(name + "=")) {
            return parameter.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

std::string encodeBase64(std::string_view text)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            encoded += i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63] : '=';
        }
    }
    return encoded;
}

} // namespace review
