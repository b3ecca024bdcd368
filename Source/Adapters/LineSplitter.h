#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheearch {

/// Splits a text that arrives in pieces into lines. The work is linear in the text, however it is
/// divided.
class LineSplitter
{
public:
    void append(std::string_view text);
    /// Returns the next complete line without its end (LF or CRLF), or std::nullopt if there is
    /// none.
    std::optional<std::string> next();
    /// Bytes that were appended and not returned, line ends included.
    std::size_t pendingBytes() const { return m_text.size() - m_begin; }

private:
    std::string m_text;
    std::size_t m_begin = 0; ///< Of the next line in \c m_text.
    std::size_t m_searched = 0; ///< Bytes of \c m_text in which line ends were searched.
};

} // namespace lycheearch
