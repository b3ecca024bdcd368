#pragma once

#include <string>

#include "Base/HybridClock.h"
#include "Base/Ids.h"

namespace lycheearch {

/// Something that happened in one process, as the time line shows it.
struct TimelineEvent
{
    HybridTime time = 0;
    InstanceId instance;
    std::string kind; ///< Short fixed name, for example "plan".
    RequestId request;
    SessionId session;
    InstanceId backend;
    VersionId version;
    DataCentreId dataCentre;
    std::string detail; ///< A short sentence.
};

} // namespace lycheearch
