#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Base/Time.h"

namespace lycheearch {

/// Receives the readiness of one file descriptor.
class IoHandler
{
public:
    virtual ~IoHandler() = default;
    /// \p events holds EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLHUP and EPOLLERR bits.
    virtual void onReady(std::uint32_t events, TimePoint now) = 0;
};

/// Identifies a timer. The null value names none.
struct TimerId
{
    TimePoint due;
    std::uint64_t number = 0;

    bool active() const { return number != 0; }
    auto operator<=>(const TimerId &) const = default;
};

/// The single thread of the data path: waits for descriptors and timers and calls their handlers.
class EventLoop
{
public:
    using Callback = std::function<void(TimePoint)>;

    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Starts to watch \p fd, or changes what it is watched for.
    void watch(int fd, std::uint32_t events, IoHandler &handler);
    /// Forgets \p fd. Events of the running round that are left for it are dropped.
    void unwatch(int fd);

    TimerId at(TimePoint due, Callback callback);
    /// Cancels a timer and clears \p timer. A null or a fired timer is left alone.
    void cancel(TimerId &timer);
    /// Calls \p callback after the handlers of the running round, for deferred deletion.
    void defer(std::function<void()> callback);

    /// Runs until stop() is called.
    void run();
    void stop() { m_stopped = true; }
    /// Lets run() be called once more after stop().
    void resume() { m_stopped = false; }
    TimePoint now() const { return m_clock.now(); }

private:
    void runDeferred();
    void runTimers();
    int waitMilliseconds() const;
    void dispatch(int fd, std::uint64_t generation, std::uint32_t events);

    struct Watch
    {
        IoHandler *handler = nullptr;
        std::uint32_t events = 0;
        std::uint32_t generation = 0;
    };

    const Clock &m_clock;
    int m_epoll = -1;
    bool m_stopped = false;
    std::uint64_t m_nextTimer = 1;
    std::uint32_t m_nextGeneration = 1;
    std::unordered_map<int, Watch> m_watches;
    std::map<TimerId, Callback> m_timers;
    std::vector<std::function<void()>> m_deferred;
};

} // namespace lycheearch
