#pragma once

#include <cstddef>

namespace lycheearch {

/// Limits the total memory of buffered request bodies in this process, so that callers that send
/// large bodies slowly can't exhaust the memory of an instance.
class BodyBudget
{
public:
    explicit BodyBudget(std::size_t mostBytes)
        : m_most(mostBytes)
    {
    }

    /// Reserves \p bytes. Returns false, and reserves nothing, if that would exceed the limit.
    bool take(std::size_t bytes)
    {
        if (m_held + bytes > m_most) {
            return false;
        }
        m_held += bytes;
        return true;
    }
    void giveBack(std::size_t bytes) { m_held -= bytes; }
    std::size_t held() const { return m_held; }

private:
    std::size_t m_most;
    std::size_t m_held = 0;
};

} // namespace lycheearch
