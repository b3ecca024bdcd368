#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Fleet.h"
#include "RequestRecord.h"

namespace lycheearch::trial {

/// Simulates the load balancer of the platform: polls the readiness of each daemon and returns
/// ready daemons round-robin. Between two polls it can return a daemon that is no longer ready.
class Balancer
{
public:
    explicit Balancer(Fleet &fleet);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /// Returns the id and address of the next ready daemon, or of the first daemon if none is
    /// ready.
    std::pair<std::string, Endpoint> next();
    /// Polls the readiness of every daemon once.
    void refresh();

private:
    struct Target
    {
        std::string id;
        Endpoint address;
        bool ready = false;
    };

    void pollReadiness();

    std::mutex m_mutex;
    std::vector<Target> m_targets;
    std::size_t m_nextIndex = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// A caller that follows the documented retry rules: it retries a request with the same idempotency
/// key if the request did not run or its outcome is unknown, waits at least the retry_after_ms of
/// the answer, and gives up at its deadline.
class Caller
{
public:
    Caller(Balancer &balancer, Duration deadline, int maxAttempts);

    /// Sends a request, with retries, and fills in the outcome. \p scheduled is the arrival time
    /// that the deadline and the latencies count from.
    void run(RequestRecord &record, TimePoint scheduled) const;

private:
    /// Returns the delay before the next attempt; std::nullopt if the request must not be retried.
    std::optional<Duration> attempt(RequestRecord &record, TimePoint scheduled) const;
    void readAnswer(RequestRecord &record, const std::string &body) const;
    void readStream(RequestRecord &record, std::istream &stream, TimePoint scheduled) const;

    Balancer &m_balancer;
    Duration m_deadline;
    int m_maxAttempts;
};

} // namespace lycheearch::trial
