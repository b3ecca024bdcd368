#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace lycheearch {

/// A body that several owners read, such as a request and the queue that sends it.
using SharedBody = std::shared_ptr<const std::string>;

/// Bytes that wait to be sent, in order. Small writes are joined; bodies are referred to, not
/// copied. What has been sent is freed as the queue goes on.
class SendQueue
{
public:
    void append(std::string_view bytes);
    void append(SharedBody body);
    /// The bytes that are to be sent next; empty if there are none.
    std::string_view front() const;
    /// Drops \p count bytes, at most those of front().
    void consume(std::size_t count);
    void clear();
    std::size_t size() const { return m_size; }

private:
    struct Segment
    {
        std::string text;
        SharedBody body; ///< Holds the bytes instead of \c text, if set.

        std::string_view bytes() const { return body ? *body : text; }
    };

    std::list<Segment> m_segments;
    std::size_t m_consumed = 0; ///< Of the first segment.
    std::size_t m_size = 0;
};

} // namespace lycheearch
