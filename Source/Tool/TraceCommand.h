#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "Tool/Commands.h"

namespace lycheearch {

/// Arguments of `lycheearch trace`.
struct TraceOptions
{
    std::string request; ///< Request id.
    std::vector<std::string> logs; ///< Files; "-" or an empty list for standard input.
    bool json = false;
};

/// Prints the log lines of a request and the related events of the daemons and backend servers
/// that handled it. Returns BadInput if a file cannot be read, and Failed if no line belongs to
/// the request.
ExitCode traceRequest(const TraceOptions &options, std::istream &input, std::ostream &out,
                      std::ostream &err);

} // namespace lycheearch
