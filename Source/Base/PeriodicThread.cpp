#include "Base/PeriodicThread.h"

#include <exception>

#include "Base/Logger.h"

namespace lycheearch {

namespace {
constexpr Duration PauseAfterException = 500ms;
const Logger Log("duty");
} // namespace

PeriodicThread::PeriodicThread(std::string name, Step step)
    : m_name(std::move(name))
    , m_step(std::move(step))
    , m_thread([this] { run(); })
{
}

PeriodicThread::~PeriodicThread()
{
    stop();
}

void PeriodicThread::wake()
{
    {
        std::lock_guard lock(m_mutex);
        m_wakeRequested = true;
    }
    m_changed.notify_all();
}

void PeriodicThread::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeriodicThread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wakeRequested = false;
        lock.unlock();
        Duration pause = PauseAfterException;
        try {
            pause = m_step();
        } catch (const std::exception &error) {
            Log.error("A step of thread " + m_name + " failed: " + error.what() + ".");
        }
        lock.lock();
        m_changed.wait_for(lock, pause, [this] { return m_stopping || m_wakeRequested; });
    }
}

} // namespace lycheearch
