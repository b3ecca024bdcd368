#include "Daemon/ResourcePlan.h"

#include <algorithm>

#include <sys/resource.h>

namespace lycheearch {

namespace {

constexpr std::int64_t BytesPerMegabyte = 1024L * 1024;
/// A connection of a caller counts with its buffers in the kernel.
constexpr std::int64_t CallerConnectionBytes = 16L * 1024;
/// Parts of the memory.
constexpr std::int64_t ConnectionsDivisor = 4;
constexpr std::size_t HeadsDivisor = 8;
constexpr std::size_t BodiesDivisor = 4;
constexpr std::size_t ResponsesDivisor = 4;
constexpr std::size_t FeedDivisor = 8;
/// Parts of the descriptors, in percent.
constexpr std::int64_t CallersPercent = 40;
constexpr std::int64_t RelayPercent = 10;
constexpr std::int64_t FeedPercent = 10;
constexpr std::int64_t PagesPercent = 3;
constexpr std::int64_t Percent = 100;
/// More connections than these are of no use to a port.
constexpr std::int64_t MaxFeedConnections = 256;
constexpr std::int64_t MaxPageConnections = 64;

std::size_t part(std::int64_t descriptors, std::int64_t percent, std::int64_t most)
{
    return static_cast<std::size_t>(
        std::clamp(descriptors * percent / Percent, std::int64_t{1}, most));
}

} // namespace

PortLimits portLimits(std::int64_t descriptors, std::int64_t memoryMegabytes)
{
    const std::int64_t fitting =
        memoryMegabytes * BytesPerMegabyte / ConnectionsDivisor / CallerConnectionBytes;
    return {part(descriptors, CallersPercent, fitting), part(descriptors, RelayPercent, fitting),
            part(descriptors, FeedPercent, MaxFeedConnections),
            part(descriptors, PagesPercent, MaxPageConnections)};
}

ClientMemory clientMemory(std::int64_t memoryMegabytes)
{
    const auto bytes = static_cast<std::size_t>(memoryMegabytes * BytesPerMegabyte);
    return {bytes / HeadsDivisor, bytes / BodiesDivisor, bytes / ResponsesDivisor,
            bytes / FeedDivisor};
}

std::int64_t descriptorLimit(std::int64_t configured)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return configured;
    }
    return std::min(configured, static_cast<std::int64_t>(limit.rlim_cur));
}

} // namespace lycheearch
