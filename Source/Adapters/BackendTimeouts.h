#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Timeouts of connections to backend servers.
struct BackendTimeouts
{
    Duration connect{}; ///< To connect, read a load report or send an order.
    Duration firstByte{}; ///< Until the first byte of a response.
    Duration streamIdle{}; ///< Between two events of a stream.
};

} // namespace lycheearch
