#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "Base/Time.h"

namespace lycheearch {

/// A background thread that calls a step function repeatedly until it is stopped. The step returns
/// the delay before its next call. An exception from a step is logged, and the step is retried
/// after 500 ms.
class PeriodicThread
{
public:
    using Step = std::function<Duration()>;

    PeriodicThread(std::string name, Step step);
    ~PeriodicThread();
    PeriodicThread(const PeriodicThread &) = delete;
    PeriodicThread &operator=(const PeriodicThread &) = delete;

    /// Makes the next step run without a further delay; if a step is running, directly after it.
    void wake();
    /// Waits for the running step and joins the thread. Further calls have no effect.
    void stop();

private:
    void run();

    std::string m_name;
    Step m_step;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    bool m_wakeRequested = false;
    std::thread m_thread;
};

} // namespace lycheearch
