#pragma once

#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// Kind of an instance. Entry instances are the daemons that accept callers' requests.
enum class InstanceKind { Entry, Engine, Service };

/// One entry of the instance list.
struct InstanceRecord
{
    InstanceId id;
    InstanceKind kind = InstanceKind::Entry;
    DataCentreId dataCentre;
    Endpoint address; ///< Where the instance accepts requests.
    Endpoint peerAddress; ///< Entry instances only.
    std::string backendClass; ///< Engines and services only.
    ServiceId service; ///< Services only.
    bool leaving = false; ///< The instance is being shut down.
};

/// The platform's list of live and leaving instances. It may be out of date.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /// Returns the whole list. Fails with PlatformUnavailable.
    virtual Result<std::vector<InstanceRecord>> read() = 0;
};

} // namespace lycheearch
