#pragma once

#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Findings.h"
#include "Base/Ids.h"

namespace lycheearch {

/// Address of a daemon's operator API.
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

/// Reads the settings file and the secrets file that it names. Adds a finding for each error.
ToolSettings loadToolSettings(const std::string &path, Findings &findings);

} // namespace lycheearch
