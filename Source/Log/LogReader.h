#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lycheearch {

/// A line of the structured log, read back.
struct ReadLogLine
{
    std::string time; ///< As written; such texts compare like the times.
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields; ///< All others.
    std::string text; ///< The line itself, without what a collector put before it.

    /// A field's value; empty if there is none.
    std::string field(const std::string &key) const;
};

/// Reads a line as LogLine and DecisionLog write it. What stands before its first field is passed
/// over. Returns nothing for other lines.
std::optional<ReadLogLine> readLogLine(std::string_view line);

} // namespace lycheearch
