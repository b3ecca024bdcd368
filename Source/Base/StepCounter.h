#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheearch {

/// Counts the steps of the readers in this thread: bytes that are examined, copied or moved. The
/// work that some input causes can so be measured without a clock.
class StepCounter
{
public:
    static void add(std::size_t steps) { counter() += steps; }
    /// Steps since the start of the thread.
    static std::uint64_t total() { return counter(); }

private:
    static std::uint64_t &counter()
    {
        thread_local std::uint64_t steps = 0;
        return steps;
    }
};

} // namespace lycheearch
