#pragma once

#include <cstdint>
#include <optional>

namespace lycheearch {

/// What the kernel has received on a TCP connection, read or not.
struct ReceiveState
{
    bool established = false; ///< Neither side has ended the connection.
    std::uint64_t bytes = 0; ///< Received in all. The end of the incoming stream counts as one.
};

/// Returns the state of a connected socket (TCP_INFO, one system call), or std::nullopt if the
/// kernel does not report it.
std::optional<ReceiveState> receiveState(int fd);

} // namespace lycheearch
