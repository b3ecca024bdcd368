#pragma once

#include <cstddef>

namespace lycheearch {

/// Limits the total memory of buffered bodies in this process, so that callers that send large
/// bodies slowly, or servers that send bodies without end, can't exhaust the memory of an instance.
class BodyBudget
{
public:
    explicit BodyBudget(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    /// Reserves \p bytes. Returns false, and reserves nothing, if that would exceed the limit.
    bool tryReserve(std::size_t bytes)
    {
        if (m_reserved + bytes > m_limit) {
            return false;
        }
        m_reserved += bytes;
        return true;
    }
    /// Reserves \p bytes that are held already, also beyond the limit.
    void reserveHeld(std::size_t bytes) { m_reserved += bytes; }
    void release(std::size_t bytes) { m_reserved -= bytes; }
    std::size_t reservedBytes() const { return m_reserved; }
    std::size_t limitBytes() const { return m_limit; }

private:
    std::size_t m_limit;
    std::size_t m_reserved = 0;
};

} // namespace lycheearch
