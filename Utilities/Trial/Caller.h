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

/// The platform's balancer: knows which daemons are ready, with a lag, and names one in turn.
class Balancer
{
public:
    explicit Balancer(Fleet &fleet);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /// The next ready daemon; the first one if none is.
    std::pair<std::string, Endpoint> next();
    void refresh();

private:
    struct Target
    {
        std::string id;
        Endpoint address;
        bool ready = false;
    };

    void watch();

    std::mutex m_mutex;
    std::vector<Target> m_targets;
    std::size_t m_position = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// A caller that behaves as the documentation asks: it repeats a request under the same key if it
/// was not run or its outcome is not known, waits as told, and stops at its deadline.
class Caller
{
public:
    Caller(Balancer &balancer, Duration deadline, int mostAttempts);

    /// Sends a request to its end and completes the record. \p scheduled is its arrival time.
    void run(RequestRecord &record, TimePoint scheduled) const;

private:
    /// Returns how long to wait before another try; nothing if there is none.
    std::optional<Duration> attempt(RequestRecord &record, TimePoint scheduled) const;
    void readAnswer(RequestRecord &record, const std::string &body) const;
    void readStream(RequestRecord &record, std::istream &stream, TimePoint scheduled) const;

    Balancer &m_balancer;
    Duration m_deadline;
    int m_mostAttempts;
};

} // namespace lycheearch::trial
