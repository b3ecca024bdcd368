#pragma once

#include <system_error>

#include "Base/Endpoint.h"
#include "Base/Time.h"

namespace lycheearch {

/// How a TCP connection notices that its peer has fallen silent.
struct Liveness
{
    Duration keepAliveIdle{}; ///< Quiet time before the first probe. Whole seconds.
    Duration keepAliveInterval{}; ///< Time between probes. Whole seconds.
    int keepAliveProbes = 0; ///< Unanswered probes that end the connection.
    Duration userTimeout{}; ///< How long sent bytes may stay unacknowledged.
};

/// Opens a non-blocking listening socket. Returns -1 and sets \p error on failure.
int listenTcp(const Endpoint &endpoint, std::error_code &error);

/// Starts a non-blocking connect. Returns -1 and sets \p error on failure.
int connectTcp(const Endpoint &endpoint, std::error_code &error);

/// Accepts one connection as a non-blocking socket. Returns -1 if none is waiting.
int acceptTcp(int listener, std::error_code &error);

/// Sets keep-alive probes, the user timeout and TCP_NODELAY.
void setLiveness(int fd, const Liveness &liveness);

/// The pending error of a socket, for example after a connect.
std::error_code socketError(int fd);

} // namespace lycheearch
