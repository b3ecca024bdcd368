#pragma once

#include <optional>
#include <string_view>

namespace lycheearch {

/// Finds the limits of the values in JSON text without building a tree. It follows quotes and
/// brackets only: its results hold for text that a JSON parser accepts.
class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text)
        : m_text(text)
    {
    }

    std::size_t position() const { return m_position; }
    /// The text that was not read yet.
    std::string_view rest() const { return m_text.substr(m_position); }
    /// Skips \p bytes of the text, and spaces after them.
    void skip(std::size_t bytes);
    /// Skips spaces, then \p c and the spaces after it. Returns false if another character follows.
    bool accept(char c);
    /// Reads a string and returns the text between its quotes. std::nullopt if there is none, or if
    /// it has an escape sequence.
    std::optional<std::string_view> readPlainString();
    /// Skips a value and returns its text. std::nullopt if there is none, if the text ends within
    /// it, or if it nests arrays and objects more than \p maxDepth deep.
    std::optional<std::string_view> skipValue(int maxDepth);

private:
    void skipSpace();
    bool skipString();
    bool skipNested(int maxDepth);
    void skipScalar();

    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace lycheearch
