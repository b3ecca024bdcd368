#pragma once

#include <map>
#include <string>

#include "Base/Endpoint.h"
#include "Base/Findings.h"
#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Addresses of the platform's services.
struct PlatformSettings
{
    Endpoint log;
    Endpoint instanceList;
    Endpoint rating;
    Endpoint weightStore;
    Duration timeout{};
};

/// Keys that daemons share. Read from a file, never from the settings document.
struct Secrets
{
    std::string peerKey; ///< Proves daemons to each other.
    std::string sessionKey; ///< Signs session tokens.
    std::string operatorKey; ///< Opens the operator paths of a daemon.
};

/// Periods and time limits of a daemon.
struct TimingSettings
{
    Duration exchangePeriod{};
    Duration suspicion{};
    Duration pollPeriod{};
    Duration instanceListPeriod{};
    Duration peerTimeout{};
    Duration claimLogTimeout{};
    Duration firstByteTimeout{};
    Duration silenceTimeout{};
    Duration balancerLag{};
    Duration drainLimit{};
    Duration defaultDeadline{};
    Duration gatekeeperHoldOff{};
    Duration keptAnswerLifetime{};
};

/// Bounds of what a daemon takes on.
struct LimitSettings
{
    std::size_t maxBodyBytes = 0;
    int callerThreads = 0;
    int waitingRequests = 0;
    int keptRecords = 0;
    int timelineEvents = 0;
};

/// Settings of one daemon, from one YAML file.
struct Settings
{
    InstanceId instance;
    DataCentreId dataCentre;
    Endpoint listen; ///< Callers and operators.
    Endpoint peerListen; ///< Other daemons.
    PlatformSettings platform;
    Secrets secrets;
    TimingSettings timing;
    LimitSettings limits;
    std::map<InstanceId, Endpoint> peerAddresses; ///< Overrides of the instance list.
    std::string logLevel;
};

/// Reads and checks a settings file and the secrets file that it names.
Settings loadSettings(const std::string &path, Findings &findings);

/// The settings reference page, made from the declarations that the checks use.
std::string settingsReference();

} // namespace lycheearch
