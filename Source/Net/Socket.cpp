#include "Net/Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lycheearch {

namespace {

constexpr int ListenBacklog = 1024;

std::error_code lastError()
{
    return {errno, std::generic_category()};
}

bool toAddress(const Endpoint &endpoint, sockaddr_in &address)
{
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    return inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) == 1;
}

int openSocket(const Endpoint &endpoint, sockaddr_in &address, std::error_code &error)
{
    if (!toAddress(endpoint, address)) {
        error = std::make_error_code(std::errc::invalid_argument);
        return -1;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        error = lastError();
    }
    return fd;
}

void setOption(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof value);
}

int wholeSeconds(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(duration).count());
}

} // namespace

int listenTcp(const Endpoint &endpoint, std::error_code &error)
{
    sockaddr_in address{};
    const int fd = openSocket(endpoint, address, error);
    if (fd < 0) {
        return -1;
    }
    setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto *socketAddress = reinterpret_cast<const sockaddr *>(&address);
    if (bind(fd, socketAddress, sizeof address) != 0 || listen(fd, ListenBacklog) != 0) {
        error = lastError();
        close(fd);
        return -1;
    }
    return fd;
}

int connectTcp(const Endpoint &endpoint, std::error_code &error)
{
    sockaddr_in address{};
    const int fd = openSocket(endpoint, address, error);
    if (fd < 0) {
        return -1;
    }
    const auto *socketAddress = reinterpret_cast<const sockaddr *>(&address);
    if (connect(fd, socketAddress, sizeof address) != 0 && errno != EINPROGRESS) {
        error = lastError();
        close(fd);
        return -1;
    }
    return fd;
}

int acceptTcp(int listener, std::error_code &error)
{
    const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        error = lastError();
    }
    return fd;
}

void setTcpOptions(int fd, const Liveness &liveness)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(liveness.keepAliveIdle));
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(liveness.keepAliveInterval));
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, liveness.keepAliveProbes);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(toMilliseconds(liveness.userTimeout)));
}

void limitUnsentBytes(int fd, int bytes)
{
    setOption(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, bytes);
}

void limitReceiveBuffer(int fd, int bytes)
{
    setOption(fd, SOL_SOCKET, SO_RCVBUF, bytes);
}

std::error_code socketError(int fd)
{
    int value = 0;
    socklen_t length = sizeof value;
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &value, &length) != 0) {
        return lastError();
    }
    return {value, std::generic_category()};
}

} // namespace lycheearch
