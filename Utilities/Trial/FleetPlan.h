#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheearch::trial {

/// One data centre of a trial and its number of daemons.
struct DataCentrePlan
{
    std::string id;
    int daemons = 0;
};

/// A group of identical backend servers. The servers are assigned to the data centres round-robin.
struct BackendGroup
{
    std::string prefix; ///< Start of the server names, followed by "-" and a number from 1.
    std::string kind; ///< "engine" or "service".
    std::string backendClass; ///< Backend class in the manifest.
    std::string service; ///< Plain service that the servers offer; empty for engines.
    int count = 0;
    std::vector<std::string> versions; ///< Model versions that are loaded at start.
    std::int64_t tokenMicroseconds = 0; ///< Time to generate a token.
    std::int64_t callMicroseconds = 0; ///< Time to run a call of a plain service.
    int warmLimit = 8; ///< Concurrent requests that a warm server accepts.
    int coldLimit = 1; ///< Concurrent requests allowed during cold start.
    bool startsCold = false;
};

struct VersionQuality
{
    std::string id;
    double quality = 0; ///< Share of good answers, 0 to 1.
};

/// The fleet that a trial runs, as described by fleet.yaml of a deployment.
struct FleetPlan
{
    std::vector<DataCentrePlan> dataCentres;
    std::vector<BackendGroup> groups;
    std::vector<VersionQuality> versions;
};

/// Reads fleet.yaml at \p path. Throws std::runtime_error with the findings if it is not valid.
FleetPlan loadFleetPlan(const std::string &path);

} // namespace lycheearch::trial
