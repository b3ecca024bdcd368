#pragma once

#include <set>
#include <string>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// What a backend server said about itself.
struct BackendReport
{
    StartId startId; ///< Changes whenever the server has lost its warm state.
    bool cold = false;
    int inFlight = 0;
    int queued = 0;
    std::set<VersionId> versions; ///< Versions loaded; empty for plain services.
};

/// Where a request is sent, and the state that the sender relies on. The adapter proves on the
/// connection that carries the request that the server still is in that state.
struct BackendTarget
{
    InstanceId instance;
    Endpoint address;
    StartId startId; ///< Empty: any.
    bool coldAllowed = false; ///< The sender holds a permit for a server in cold start.
};

} // namespace lycheearch
