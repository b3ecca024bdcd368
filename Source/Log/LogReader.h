#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lycheearch {

/// A parsed line of the structured log.
struct ParsedLogLine
{
    std::string time; ///< ISO 8601 in UTC, as written; its text order is the time order.
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields by key.
    std::string text; ///< The line without the prefix that a log collector added.

    /// The value of a field in fields; empty if there is none.
    std::string field(const std::string &key) const;
};

/// Parses a line in the format of LogLine and StructuredLog. Text before "time=" is skipped.
/// Returns std::nullopt for lines in another format.
std::optional<ParsedLogLine> parseLogLine(std::string_view line);

} // namespace lycheearch
