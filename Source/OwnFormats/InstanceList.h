#pragma once

#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

enum class InstanceKind { Entry, Engine, Service };

/// One line of the instance list.
struct InstanceRecord
{
    InstanceId id;
    InstanceKind kind = InstanceKind::Entry;
    DataCentreId dataCentre;
    Endpoint address; ///< For callers; for engines and services, for requests.
    Endpoint peerAddress; ///< Entry instances only.
    std::string backendClass; ///< Engines and services only.
    ServiceId service; ///< Services only.
    bool leaving = false;
};

/// The platform's list of live and leaving instances. It lags behind.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual Result<std::vector<InstanceRecord>> read() = 0;
};

} // namespace lycheearch
