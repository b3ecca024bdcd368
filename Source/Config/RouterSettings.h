#pragma once

#include <string>

#include "Base/Endpoint.h"
#include "Base/Findings.h"
#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Bounds that the deployment sets for all daemons together.
struct RouterBounds
{
    Duration drain{}; ///< A draining backend server gets no new work after this.
    Duration grace{}; ///< From the signal to stop until the process is killed.
    Duration configApply{}; ///< A new configuration is in force everywhere after this.
    Duration retryWindow{};
    double retryRatio = 0; ///< Repeated sends for each request in the window.
    double retrySlack = 0; ///< Repeated sends beyond the ratio.
    double exposeShare = 0; ///< Most of the traffic that a bad version may get.
    double coldOvershoot = 1; ///< Factor on what a cold backend server bears.
    double coldSlack = 0; ///< Requests a second beyond what a cold server bears.
};

/// Settings of a daemon that keeps its state in a log store.
struct RouterSettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    Endpoint listen; ///< Callers.
    Endpoint readinessListen;
    Endpoint metricsListen;
    Endpoint feedListen; ///< Daemons that follow what this one reads.
    Endpoint store;
    std::int64_t memoryMegabytes = 0;
    int routineLogLines = 0; ///< A second.
    RouterBounds bounds;
};

/// Reads and checks a settings file.
RouterSettings loadRouterSettings(const std::string &path, Findings &findings);

/// The reference page, made from the declarations that the checks use.
std::string routerSettingsReference();

} // namespace lycheearch
