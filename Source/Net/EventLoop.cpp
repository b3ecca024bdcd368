#include "Net/EventLoop.h"

#include <array>
#include <system_error>

#include <cerrno>
#include <sys/epoll.h>
#include <unistd.h>

namespace lycheearch {

namespace {

constexpr int MaxEventsPerWait = 128;
constexpr int MaxWaitMs = 1000;
constexpr unsigned GenerationShift = 32;
/// Timers that fire one after the other, and events before them beyond one round, may take so long.
constexpr Duration MaxBatchTime = 20ms;

std::uint64_t eventKey(int fd, std::uint32_t generation)
{
    return (static_cast<std::uint64_t>(generation) << GenerationShift)
        | static_cast<std::uint32_t>(fd);
}

} // namespace

EventLoop::EventLoop(const Clock &clock)
    : m_clock(clock)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
}

EventLoop::~EventLoop()
{
    close(m_epoll);
}

void EventLoop::watch(int fd, std::uint32_t events, IoHandler &handler)
{
    Watch &watch = m_watches[fd];
    const bool isNew = watch.handler == nullptr;
    if (!isNew && watch.events == events && watch.handler == &handler) {
        return;
    }
    if (isNew) {
        watch.generation = m_nextGeneration++;
    }
    watch.handler = &handler;
    watch.events = events;
    epoll_event event{};
    event.events = events;
    event.data.u64 = eventKey(fd, watch.generation);
    epoll_ctl(m_epoll, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::unwatch(int fd)
{
    if (m_watches.erase(fd) > 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
}

TimerId EventLoop::at(TimePoint due, Callback callback, const char *duty)
{
    const TimerId timer{due, m_nextTimer++};
    m_timers.emplace(timer, Timer{std::move(callback), duty});
    return timer;
}

void EventLoop::cancel(TimerId &timer)
{
    if (timer.active()) {
        m_timers.erase(timer);
        timer = TimerId();
    }
}

void EventLoop::defer(std::function<void()> callback)
{
    m_deferred.push_back(std::move(callback));
}

void EventLoop::run()
{
    while (!m_stopped) {
        if (!timerDue()) {
            handleEvents(waitMilliseconds());
        }
        runTimers();
        runDeferred();
    }
    while (!m_deferred.empty()) {
        runDeferred();
    }
}

int EventLoop::handleEvents(int timeoutMs)
{
    std::array<epoll_event, MaxEventsPerWait> events{};
    const int count = epoll_wait(m_epoll, events.data(), MaxEventsPerWait, timeoutMs);
    for (int i = 0; i < count; ++i) {
        const std::uint64_t key = events[i].data.u64;
        dispatch(static_cast<int>(key & UINT32_MAX), key >> GenerationShift, events[i].events);
    }
    return count;
}

bool EventLoop::timerDue() const
{
    return !m_timers.empty() && m_timers.begin()->first.due <= now();
}

TimePoint EventLoop::handleArrived()
{
    const TimePoint begunAt = now();
    // epoll queues ready descriptors, so each of them is reported in one of these rounds.
    const std::size_t oneRound = m_watches.size() / MaxEventsPerWait + 1;
    for (std::size_t waits = 0; !m_stopped; ++waits) {
        const TimePoint beforeWait = now();
        if (waits > oneRound && beforeWait - begunAt > MaxBatchTime) {
            break;
        }
        if (handleEvents(0) <= 0) {
            return beforeWait;
        }
    }
    return begunAt;
}

void EventLoop::dispatch(int fd, std::uint64_t generation, std::uint32_t events)
{
    const auto found = m_watches.find(fd);
    if (found != m_watches.end() && found->second.generation == generation) {
        const TimePoint begunAt = now();
        // The handler may be deleted by its own call.
        const char *duty = found->second.handler->duty();
        found->second.handler->onReady(events, begunAt);
        reportTurn(duty, begunAt);
    }
}

void EventLoop::reportTurn(const char *duty, TimePoint begunAt)
{
    if (m_observer == nullptr) {
        return;
    }
    const TimePoint endedAt = now();
    if (endedAt - begunAt >= LongTurn) {
        m_observer->onLongTurn(duty, endedAt - begunAt, endedAt);
    }
}

void EventLoop::reportLateness(TimePoint due)
{
    const TimePoint present = now();
    if (m_observer != nullptr && present - due >= LateTimers) {
        m_observer->onLateTimers(present - due, present);
    }
}

void EventLoop::runTimers()
{
    if (!timerDue()) {
        return;
    }
    reportLateness(m_timers.begin()->first.due);
    const TimePoint handledUntil = handleArrived();
    const TimePoint batchBegunAt = now();
    TimePoint begunAt = batchBegunAt;
    while (!m_timers.empty() && m_timers.begin()->first.due <= handledUntil && !m_stopped
           && begunAt - batchBegunAt <= MaxBatchTime) {
        const Timer timer = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        timer.callback(handledUntil);
        reportTurn(timer.duty, begunAt);
        begunAt = now();
    }
}

void EventLoop::runDeferred()
{
    std::vector<std::function<void()>> batch;
    batch.swap(m_deferred);
    for (const auto &callback : batch) {
        callback();
    }
}

int EventLoop::waitMilliseconds() const
{
    if (!m_deferred.empty()) {
        return 0;
    }
    if (m_timers.empty()) {
        return MaxWaitMs;
    }
    const Duration left = m_timers.begin()->first.due - now();
    if (left <= Duration::zero()) {
        return 0;
    }
    // Rounds up so that the timer is due when epoll_wait returns.
    return static_cast<int>(std::min<std::int64_t>(MaxWaitMs, toMilliseconds(left) + 1));
}

} // namespace lycheearch
