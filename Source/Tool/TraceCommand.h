#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "Tool/Commands.h"

namespace lycheearch {

/// What `lycheearch trace` is asked for.
struct TraceOrder
{
    std::string request; ///< Its id.
    std::vector<std::string> logs; ///< Files; "-" or none: standard input.
    bool json = false;
};

/// Prints what the daemons' logs tell of a request, and of those that took part in it. Fails with
/// BadInput for a file that can't be read, with Failed if no line is about the request.
ExitCode traceRequest(const TraceOrder &order, std::istream &input, std::ostream &out,
                      std::ostream &err);

} // namespace lycheearch
