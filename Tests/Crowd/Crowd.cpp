#include "Crowd.h"

#include <algorithm>
#include <thread>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/Socket.h"

namespace lycheearch::crowd {

namespace {

constexpr Duration NothingTakenLimit = 1s;
constexpr int PollMs = 50;

} // namespace

struct Crowd::Client
{
    int fd = -1;
    std::size_t sent = 0; ///< Of the present input.

    void end()
    {
        if (fd >= 0) {
            ::close(fd);
        }
        fd = -1;
    }
    /// Sends up to \p pieceBytes. Returns whether the peer took some.
    bool sendPiece(const Input &input, std::size_t pieceBytes)
    {
        const std::size_t at = sent % input.text.size();
        const std::size_t count =
            std::min({pieceBytes, input.text.size() - at, input.size() - sent});
        const ssize_t taken =
            ::send(fd, input.text.data() + at, count, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (taken > 0) {
            sent += static_cast<std::size_t>(taken);
            return true;
        }
        if (taken < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINTR) {
            end();
        }
        return false;
    }
};

Crowd::Crowd(const Endpoint &target, std::size_t clients)
{
    for (std::size_t i = 0; i < clients; ++i) {
        std::error_code error;
        auto client = std::make_unique<Client>();
        client->fd = connectTcp(target, error);
        pollfd ready{client->fd, POLLOUT, 0};
        ::poll(&ready, 1, PollMs);
        m_clients.push_back(std::move(client));
    }
}

Crowd::~Crowd()
{
    close();
}

void Crowd::close()
{
    for (const auto &client : m_clients) {
        client->end();
    }
}

void Crowd::send(const Input &input, std::size_t pieceBytes)
{
    for (const auto &client : m_clients) {
        client->sent = 0;
    }
    const SystemClock clock;
    TimePoint lastTaken = clock.now();
    bool unsent = true;
    while (unsent && clock.now() - lastTaken < NothingTakenLimit) {
        unsent = false;
        bool taken = false;
        for (const auto &client : m_clients) {
            if (client->fd >= 0 && client->sent < input.size()) {
                unsent = true;
                taken = client->sendPiece(input, pieceBytes) || taken;
            }
        }
        if (taken) {
            lastTaken = clock.now();
        } else {
            hold(1ms);
        }
    }
}

void Crowd::endSending()
{
    for (const auto &client : m_clients) {
        if (client->fd >= 0) {
            ::shutdown(client->fd, SHUT_WR);
        }
    }
}

void Crowd::hold(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

std::string request(const std::string &method, const std::string &path, const std::string &fields,
                    const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields
        + (body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n")
        + "\r\n" + body;
}

std::string headOfBody(const std::string &path, std::size_t bodyBytes)
{
    return request("POST", path,
                   "Api-Key: k\r\nAttempt-Id: large\r\nContent-Length: " + std::to_string(bodyBytes)
                       + "\r\n");
}

int connectBlocking(const Endpoint &target, Duration limit)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval wait{};
    wait.tv_sec = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

int statusOf(const Endpoint &target, const std::string &text, Duration limit)
{
    const std::string begin = "HTTP/1.1 ";
    constexpr std::size_t statusDigits = 3;
    const int fd = connectBlocking(target, limit);
    if (fd < 0) {
        return 0;
    }
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break; // A response may have arrived before the connection was closed.
        }
        sent += static_cast<std::size_t>(count);
    }
    std::string response(begin.size() + statusDigits, '\0');
    std::size_t received = 0;
    while (received < response.size()) {
        const ssize_t count = ::recv(fd, response.data() + received, response.size() - received, 0);
        if (count <= 0) {
            break;
        }
        received += static_cast<std::size_t>(count);
    }
    ::close(fd);
    return received == response.size() && response.starts_with(begin)
        ? std::stoi(response.substr(begin.size()))
        : 0;
}

} // namespace lycheearch::crowd
