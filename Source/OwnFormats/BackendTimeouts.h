#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Time limits towards backend servers.
struct BackendTimeouts
{
    Duration connect{}; ///< To connect, and to prove a connection.
    Duration firstByte{}; ///< Until the first byte of an answer.
    Duration silence{}; ///< Between two parts of a stream.
};

} // namespace lycheearch
