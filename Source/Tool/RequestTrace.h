#pragma once

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

#include "Log/LogReader.h"

namespace lycheearch {

/// Finds the log lines of all daemons that explain the outcome of one request: its own lines,
/// events of the backend servers that it was sent to, and changes of state of the daemon that
/// handled it.
class RequestTrace
{
public:
    /// Adds the log lines of one or more daemons. Skips lines that are not in the log's format.
    void read(std::istream &input);

    /// The lines of the request with this id, ordered by time.
    std::vector<ParsedLogLine> requestLines(const std::string &id) const;
    /// Other lines about the daemons and backend servers that handled the request, from shortly
    /// before it until shortly after it, ordered by time. Lines about a backend server may come
    /// from any daemon.
    std::vector<ParsedLogLine> context(const std::string &id) const;
    /// Number of lines that read() added.
    std::size_t lines() const { return m_lines.size(); }

private:
    std::vector<ParsedLogLine> m_lines;
};

/// One sentence on how the request ended, from its last request.done or request.refused line.
std::string requestSummary(const std::vector<ParsedLogLine> &requestLines);

} // namespace lycheearch
