#pragma once

#include <random>
#include <string>
#include <vector>

#include "Caller.h"
#include "Config/Manifest.h"

namespace lycheearch::trial {

/// Request rate, mix of request kinds, and retry limits of a workload. Shares are 0 to 1.
struct WorkloadSpec
{
    double requestsPerSecond = 100;
    Duration length = 10s;
    double chatShare = 0.3;
    double bookingShare = 0.1; ///< The remaining requests are lookups.
    double streamShare = 0.5; ///< Of chats.
    double sessionShare = 0.3; ///< Of chats.
    int sessions = 20; ///< Number of different sessions of an account.
    std::int64_t tokens = 20; ///< Length of a chat answer.
    Duration deadline = 15s; ///< Of a request with all its attempts.
    int maxAttempts = 12;
    std::uint64_t seed = 1;
};

/// Open-loop load generator: requests arrive as a Poisson process, whether or not earlier requests
/// have completed.
class Workload
{
public:
    Workload(const Manifest &manifest, WorkloadSpec spec);

    /// Sends all requests and returns their records. Blocks until the last one has completed.
    std::vector<RequestRecord> run(Balancer &balancer);

private:
    RequestRecord drawRequest();
    void chooseOperation(RequestRecord &record, bool idempotent);

    const Manifest &m_manifest;
    WorkloadSpec m_spec;
    std::mt19937_64 m_random;
    std::vector<std::string> m_accounts; ///< Account ids, each repeated as often as its weight.
    std::string m_prefix; ///< Random; keeps keys of different workloads distinct.
    std::int64_t m_drawnCount = 0;
};

} // namespace lycheearch::trial
