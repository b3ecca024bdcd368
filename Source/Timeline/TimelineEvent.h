#pragma once

#include <string>

#include "Base/HybridClock.h"
#include "Base/Ids.h"

namespace lycheearch {

/// An event in one process, as shown in the timeline.
struct TimelineEvent
{
    HybridTime time = 0; ///< Set by Timeline::record.
    InstanceId instance; ///< Set by Timeline::record.
    std::string kind; ///< Short fixed name, for example "plan".
    RequestId request;
    SessionId session;
    InstanceId backend;
    VersionId version;
    DataCentreId dataCentre;
    std::string detail; ///< A short sentence.
};

} // namespace lycheearch
