#pragma once

#include <system_error>

#include "Base/Endpoint.h"
#include "Base/Time.h"

namespace lycheearch {

/// TCP settings that detect a peer that no longer responds.
struct Liveness
{
    Duration keepAliveIdle{}; ///< Idle time before the first probe. Whole seconds.
    Duration keepAliveInterval{}; ///< Time between probes. Whole seconds.
    int keepAliveProbes = 0; ///< Unacknowledged probes until the connection fails.
    Duration userTimeout{}; ///< How long sent data may remain unacknowledged.
};

/// Opens a non-blocking listening socket. Returns -1 and sets \p error on failure.
int listenTcp(const Endpoint &endpoint, std::error_code &error);

/// Starts a non-blocking connect and returns its socket. Returns -1 and sets \p error on failure.
int connectTcp(const Endpoint &endpoint, std::error_code &error);

/// Accepts one connection as a non-blocking socket. Returns -1 and sets \p error if none is pending
/// or on failure.
int acceptTcp(int listener, std::error_code &error);

/// Sets the keep-alive options, TCP_USER_TIMEOUT and TCP_NODELAY.
void setTcpOptions(int fd, const Liveness &liveness);

/// Bounds the bytes that the kernel accepts beyond those on their way to the peer
/// (TCP_NOTSENT_LOWAT). What a slow peer leaves then waits in the process, which counts it.
void limitUnsentBytes(int fd, int bytes);

/// Bounds what the kernel holds of a connection that this process does not read (SO_RCVBUF; the
/// kernel doubles it for its own overhead). On a listening socket it applies to the connections
/// that are accepted later.
void limitReceiveBuffer(int fd, int bytes);

/// Returns and clears the pending error of a socket (SO_ERROR), for example after a connect.
std::error_code socketError(int fd);

} // namespace lycheearch
