#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Base/Time.h"

namespace lycheearch {

/// One line of the structured log: an event and fields in the form key=value. Text values are cut
/// to 400 bytes. They are quoted if they are empty or contain anything that could break the line
/// format, such as spaces, quotes or control characters. ASCII control characters except DEL are
/// replaced by '?'.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    LogLine &add(std::string_view key, std::int64_t value);
    LogLine &add(std::string_view key, int value) { return add(key, std::int64_t{value}); }
    LogLine &add(std::string_view key, double value);
    /// Adds a duration in whole milliseconds.
    LogLine &add(std::string_view key, Duration value);

    const std::string &text() const { return m_text; }
    std::string take() { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace lycheearch
