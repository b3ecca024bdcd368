#pragma once

#include <cstdint>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lycheearch {

/// An unused loopback port, chosen by the operating system. Tests run in parallel processes, so
/// fixed port numbers would collide.
inline std::uint16_t freePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(fd, reinterpret_cast<sockaddr *>(&address), length);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    close(fd);
    return ntohs(address.sin_port);
}

} // namespace lycheearch
