#pragma once

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

#include "Log/LogReader.h"

namespace lycheearch {

/// Finds in the logs of all daemons what explains the end of one request: its own lines, what
/// became known of the backend servers that it was sent to, and what the daemon that took it
/// believed at that time.
class RequestTrace
{
public:
    /// Adds the lines of one daemon's or of many daemons' logs.
    void read(std::istream &input);

    /// The lines about the request with this id, in order of time. Empty if there are none.
    std::vector<ReadLogLine> ownLines(const std::string &id) const;
    /// What else happened to those that took part, from a while before the request until a little
    /// after it, in order of time.
    std::vector<ReadLogLine> context(const std::string &id) const;
    std::size_t lines() const { return m_lines.size(); }

private:
    std::vector<ReadLogLine> m_lines;
};

/// One sentence on how the request ended, made from its last line.
std::string requestSummary(const std::vector<ReadLogLine> &ownLines);

} // namespace lycheearch
