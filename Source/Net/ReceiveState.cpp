#include "Net/ReceiveState.h"

#include <cstddef>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace lycheearch {

namespace {

constexpr unsigned EstablishedState = 1; ///< TCP_ESTABLISHED; <linux/tcp.h> doesn't define it.
/// Size of the structure up to the last field that is used.
constexpr socklen_t NeededBytes =
    offsetof(tcp_info, tcpi_bytes_received) + sizeof(tcp_info::tcpi_bytes_received);

} // namespace

std::optional<ReceiveState> receiveState(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < NeededBytes) {
        return std::nullopt;
    }
    return ReceiveState{info.tcpi_state == EstablishedState, info.tcpi_bytes_received};
}

} // namespace lycheearch
