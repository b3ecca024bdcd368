#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "Base/Time.h"

namespace lycheearch {

/// A thread with one duty: calls a step function again and again until it is stopped.
/// The step returns how long to wait before the next call. An exception from a step is logged and
/// the duty goes on.
class DutyThread
{
public:
    using Step = std::function<Duration()>;

    DutyThread(std::string name, Step step);
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    /// Makes the next step due now.
    void wake();
    /// Waits for the running step and ends the thread. May be called again.
    void stop();

private:
    void run();

    std::string m_name;
    Step m_step;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    bool m_due = false;
    std::thread m_thread;
};

} // namespace lycheearch
