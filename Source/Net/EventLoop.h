#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Base/Time.h"

namespace lycheearch {

/// Handles the epoll events of one file descriptor.
class IoHandler
{
public:
    virtual ~IoHandler() = default;
    /// \p events is a mask of EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLHUP and EPOLLERR.
    virtual void onReady(std::uint32_t events, TimePoint now) = 0;
    /// Name of what the handler does, for logs and metrics.
    virtual const char *duty() const { return "io"; }
};

/// Receives how long the handlers and timers of an event loop take, and how late its timers fire.
class EventLoopObserver
{
public:
    virtual ~EventLoopObserver() = default;
    /// A handler or timer of \p duty took \p duration, at least EventLoop::LongTurn.
    virtual void onLongTurn(const char *duty, Duration duration, TimePoint now) = 0;
    /// The loop had not run for \p lateness, at least EventLoop::LateTimers, when its next timer
    /// was due: the process was paused, or one of its turns was as long.
    virtual void onLateTimers(Duration lateness, TimePoint now) = 0;
};

/// Identifies a timer. A default-constructed value identifies none.
struct TimerId
{
    TimePoint due;
    std::uint64_t number = 0;

    bool active() const { return number != 0; }
    auto operator<=>(const TimerId &) const = default;
};

/// A single-threaded epoll loop: waits for file descriptors and timers and calls their handlers.
///
/// Before a timer fires, each connection on which something had arrived when it was due is handled,
/// so that a slow handler of this process does not look like the silence of a peer. On a busy
/// daemon one read of each connection may be all that is handled.
class EventLoop
{
public:
    using Callback = std::function<void(TimePoint)>;

    /// Handlers and timers that take so long are reported to the observer.
    static constexpr Duration LongTurn = 50ms;
    /// Timers that fire so much later than they are due are reported to the observer.
    static constexpr Duration LateTimers = 500ms;

    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// \p observer may be null.
    void setObserver(EventLoopObserver *observer) { m_observer = observer; }

    /// Registers \p fd for \p events, or changes its events and handler.
    void watch(int fd, std::uint32_t events, IoHandler &handler);
    /// Unregisters \p fd. Events that the current iteration has not yet dispatched are dropped.
    void unwatch(int fd);

    /// Calls \p callback once at \p due or soon after. The callback receives the time up to which
    /// all events have been handled, which is not before \p due.
    /// \p duty names what it does, as IoHandler::duty() does.
    TimerId at(TimePoint due, Callback callback, const char *duty = "timer");
    /// Cancels a timer and resets \p timer to a value that identifies none. If the timer has fired,
    /// only \p timer is reset.
    void cancel(TimerId &timer);
    /// Calls \p callback after the handlers and timers of the current iteration, for example to
    /// delete an object that is on the call stack. What is deferred by such a callback is called
    /// after the events and timers of the next iteration, so that a chain of callbacks does not
    /// hold them up.
    void defer(std::function<void()> callback);

    /// Runs until stop() is called.
    void run();
    void stop() { m_stopped = true; }
    /// Allows run() to be called again after stop().
    void resume() { m_stopped = false; }
    TimePoint now() const { return m_clock.now(); }

private:
    /// Waits up to \p timeoutMs and handles some of the events. Returns how many.
    int handleEvents(int timeoutMs);
    /// Whether a timer is due.
    bool timerDue() const;
    /// Handles the events of everything that has arrived by now, without waiting. Returns the time
    /// up to which that holds.
    TimePoint handleArrived();
    /// Calls what was deferred until now.
    void runDeferred();
    void runTimers();
    int waitMilliseconds() const;
    void dispatch(int fd, std::uint64_t generation, std::uint32_t events);
    void reportTurn(const char *duty, TimePoint begunAt);
    void reportLateness(TimePoint due);

    struct Timer
    {
        Callback callback;
        const char *duty = nullptr;
    };

    struct Watch
    {
        IoHandler *handler = nullptr;
        std::uint32_t events = 0;
        std::uint32_t generation = 0;
    };

    const Clock &m_clock;
    EventLoopObserver *m_observer = nullptr;
    int m_epoll = -1;
    bool m_stopped = false;
    std::uint64_t m_nextTimer = 1;
    std::uint32_t m_nextGeneration = 1;
    std::unordered_map<int, Watch> m_watches;
    std::map<TimerId, Timer> m_timers;
    std::vector<std::function<void()>> m_deferred;
};

} // namespace lycheearch
