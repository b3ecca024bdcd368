#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheearch {

/// How many connections each port may have at a time.
struct PortLimits
{
    std::size_t callers = 0;
    std::size_t relay = 0;
    std::size_t feed = 0;
    std::size_t pages = 0; ///< Of each port with pages.
};

/// Memory for what clients make the process hold, in bytes.
struct ClientMemory
{
    std::size_t requestHeads = 0; ///< Also for what is sent ahead.
    std::size_t requestBodies = 0;
    std::size_t responses = 0; ///< Until they are read.
    std::size_t feed = 0;
};

/// Divides the descriptors and the memory of the process among its ports, so that no client of one
/// port can take what the others need. Descriptors that are not divided are for files, backend
/// servers, the store and other daemons.
PortLimits portLimits(std::int64_t descriptors, std::int64_t memoryMegabytes);
ClientMemory clientMemory(std::int64_t memoryMegabytes);

/// The lower of \p configured and the limit of the process (RLIMIT_NOFILE).
std::int64_t descriptorLimit(std::int64_t configured);

} // namespace lycheearch
