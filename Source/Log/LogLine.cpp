#include "Log/LogLine.h"

#include <array>
#include <charconv>

namespace lycheearch {

namespace {

constexpr std::size_t MaxValueBytes = 400;

bool needsQuotes(std::string_view value)
{
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
            return true;
        }
    }
    return value.empty();
}

void appendQuoted(std::string &text, std::string_view value)
{
    text.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text.push_back('\\');
            text.push_back(c);
        } else {
            text.push_back(static_cast<unsigned char>(c) < ' ' ? '?' : c);
        }
    }
    text.push_back('"');
}

} // namespace

LogLine::LogLine(std::string_view event)
    : m_text("event=")
{
    m_text.append(event);
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    m_text.append(" ").append(key).append("=");
    value = value.substr(0, MaxValueBytes);
    if (needsQuotes(value)) {
        appendQuoted(m_text, value);
    } else {
        m_text.append(value);
    }
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    m_text.append(" ").append(key).append("=").append(std::to_string(value));
    return *this;
}

LogLine &LogLine::add(std::string_view key, double value)
{
    constexpr int digits = 3;
    std::array<char, 64> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                                   std::chars_format::fixed, digits);
    m_text.append(" ").append(key).append("=").append(buffer.data(), end.ptr);
    return *this;
}

LogLine &LogLine::add(std::string_view key, Duration value)
{
    return add(key, toMilliseconds(value));
}

} // namespace lycheearch
