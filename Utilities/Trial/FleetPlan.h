#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheearch::trial {

/// One data centre of a trial and how many daemons it has.
struct DataCentrePlan
{
    std::string id;
    int daemons = 0;
};

/// Backend servers that are alike. They are spread over the data centres in turn.
struct BackendGroup
{
    std::string prefix;
    std::string kind;
    std::string backendClass;
    std::string service;
    int count = 0;
    std::vector<std::string> versions;
    std::int64_t tokenMicroseconds = 0;
    std::int64_t callMicroseconds = 0;
    int warmLimit = 8;
    int coldLimit = 1;
    bool startsCold = false;
};

struct VersionQuality
{
    std::string id;
    double quality = 0;
};

/// What a trial runs, as fleet.yaml of a deployment describes it.
struct FleetPlan
{
    std::vector<DataCentrePlan> dataCentres;
    std::vector<BackendGroup> groups;
    std::vector<VersionQuality> versions;
};

/// Reads fleet.yaml. Throws std::runtime_error with the findings.
FleetPlan loadFleetPlan(const std::string &path);

} // namespace lycheearch::trial
