#pragma once

#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Findings.h"
#include "Base/Ids.h"

namespace lycheearch {

/// One daemon that the tool can ask.
struct DaemonAddress
{
    InstanceId instance;
    Endpoint address;
};

/// Settings of the command-line tool, from a YAML file.
struct ToolSettings
{
    Endpoint log;
    std::vector<DaemonAddress> daemons;
    std::string operatorKey; ///< From the secrets file.
};

ToolSettings loadToolSettings(const std::string &path, Findings &findings);

} // namespace lycheearch
