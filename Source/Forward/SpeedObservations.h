#pragma once

#include "Forward/ForwardContext.h"

namespace lycheearch {

/// An answer of a backend server that has just begun.
struct BegunAnswer
{
    RequestId request;
    InstanceId backend;
    /// Work that takes equally long at equal servers: the model, or the route of a plain service.
    std::string kind;
    double work = 0; ///< Until the answer began, at a server of usual speed; 0: not counted.
    Duration latency{};
};

/// Records the load that a backend server reported with an answer to \p request, and how slow its
/// host is. What can't be read is logged once for each run of the server.
void recordReportedLoad(ForwardContext &context, const RequestId &request,
                        const InstanceId &backend, const ResponseMetadata &metadata, TimePoint now);
/// Records how long a successful answer took to begin. Logs a server that is found to be slow.
void recordAnswerBegun(ForwardContext &context, const BegunAnswer &answer, TimePoint now);
/// Records the time between two events of a stream.
void recordGap(ForwardContext &context, const InstanceId &backend, const std::string &kind,
               Duration gap, TimePoint now);

} // namespace lycheearch
