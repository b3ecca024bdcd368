#pragma once

#include <random>
#include <string>
#include <vector>

#include "Caller.h"
#include "Config/Manifest.h"

namespace lycheearch::trial {

/// Shares of the kinds of requests, and how they arrive.
struct WorkloadSpec
{
    double requestsPerSecond = 100;
    Duration length = 10s;
    double chatShare = 0.3;
    double bookingShare = 0.1; ///< The rest are lookups.
    double streamShare = 0.5; ///< Of chats.
    double sessionShare = 0.3; ///< Of chats.
    int sessions = 20; ///< Different ones.
    std::int64_t tokens = 20; ///< Of a chat's answer.
    Duration deadline = 15s;
    int mostAttempts = 12;
    std::uint64_t seed = 1;
};

/// Open-loop load: requests arrive at random times, whether earlier ones have ended or not.
class Workload
{
public:
    Workload(const Manifest &manifest, WorkloadSpec spec);

    /// Sends all requests and returns what came of them. Blocks until the last has ended.
    std::vector<RequestRecord> run(Balancer &balancer);

private:
    RequestRecord draw();
    void chooseOperation(RequestRecord &record, bool idempotent);

    const Manifest &m_manifest;
    WorkloadSpec m_spec;
    std::mt19937_64 m_random;
    std::vector<std::string> m_accounts; ///< Repeated by weight.
    std::string m_prefix; ///< Makes keys of different workloads differ.
    std::int64_t m_count = 0;
};

} // namespace lycheearch::trial
