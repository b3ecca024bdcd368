#pragma once

#include <set>
#include <string>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// Load report of a backend server.
struct BackendReport
{
    StartId startId; ///< Changes whenever the server loses its warm state.
    bool cold = false;
    int inFlight = 0;
    int queued = 0;
    std::set<VersionId> versions; ///< Versions loaded; empty for plain services.
};

/// Destination of a request and the server state that the sender expects. ConnectionPool checks the
/// state on the connection that carries the request, so that a request does not reach a server that
/// restarted or went cold after it was chosen.
struct BackendTarget
{
    InstanceId instance;
    Endpoint address;
    StartId startId; ///< Empty for any.
    bool coldAllowed = false; ///< The sender holds a permit, so the server may be in cold start.
};

} // namespace lycheearch
