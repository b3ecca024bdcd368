#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <unistd.h>

#include "Daemon/RolloutAgent.h"
#include "Feed/FeedOrder.h"
#include "ManualLoop.h"
#include "Routing/VersionComparison.h"
#include "platform/PlatformRecordCodec.h"

namespace lycheearch {

/// A record of the store and when it was appended.
struct AppendedRecord
{
    RawRecord raw;
    TimePoint at;
};

/// The content of a store that several daemons use, with calls that take time on their way.
class SharedLog
{
public:
    Offset append(Topic topic, RawRecord record, TimePoint now)
    {
        record.offset = end(topic);
        m_content[topic].push_back({std::move(record), now});
        return m_content[topic].back().raw.offset;
    }
    Offset end(Topic topic) { return Offset(static_cast<std::int64_t>(m_content[topic].size())); }
    const std::vector<AppendedRecord> &content(Topic topic) { return m_content[topic]; }

    /// Calls \p event at \p at, or when run() is called next.
    void schedule(TimePoint at, std::function<void(TimePoint)> event)
    {
        m_events.emplace(at, std::move(event));
    }
    void run(TimePoint now)
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event(now);
        }
    }

private:
    std::map<Topic, std::vector<AppendedRecord>> m_content;
    std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
};

/// One daemon's access to a SharedLog. As with a connection to the store, a write is made only
/// after the one before it was answered. Answers wait until the daemon runs.
class SharedLogClient : public FleetStore
{
public:
    static constexpr Duration OneWay = 5ms;
    using WriteDelay = std::function<Duration()>;

    SharedLogClient(EventLoop &loop, SharedLog &log)
        : m_loop(loop)
        , m_log(log)
    {
    }

    /// How long a write that is made now is under way.
    void setWriteDelay(WriteDelay delay) { m_writeDelay = std::move(delay); }

    void read(Topic topic, Offset from, Duration wait, PageCallback callback) override
    {
        m_log.schedule(m_loop.now() + OneWay, [=, this](TimePoint now) {
            answerRead(topic, from, now + wait, callback, now);
        });
    }

    void readNewest(Topic topic, const std::string &, PageCallback callback) override
    {
        m_log.schedule(m_loop.now() + OneWay, [=, this](TimePoint) {
            std::map<std::string, RawRecord> newest;
            for (const AppendedRecord &record : m_log.content(topic)) {
                newest[record.raw.key] = record.raw;
            }
            RecordPage page;
            for (const auto &[key, raw] : newest) {
                page.records.push_back(raw);
            }
            answer<RecordPage>(callback, finished(topic, std::move(page)));
        });
    }

    void append(Topic topic, const RawRecord &record, const WriteCondition &condition,
                WriteCallback callback) override
    {
        m_writes.push_back([=, this] { write(topic, record, condition, callback); });
        if (m_writes.size() == 1) {
            m_writes.front()();
        }
    }

private:
    /// Answers once there is a record, or at \p until.
    void answerRead(Topic topic, Offset from, TimePoint until, const PageCallback &callback,
                    TimePoint now)
    {
        if (m_log.end(topic) <= from && now < until) {
            m_log.schedule(now + OneWay, [=, this](TimePoint later) {
                answerRead(topic, from, until, callback, later);
            });
            return;
        }
        RecordPage page;
        for (const AppendedRecord &record : m_log.content(topic)) {
            if (record.raw.offset >= from) {
                page.records.push_back(record.raw);
            }
        }
        answer<RecordPage>(callback, finished(topic, std::move(page)));
    }

    void write(Topic topic, const RawRecord &record, const WriteCondition &condition,
               const WriteCallback &callback)
    {
        const WriteCallback finish = [=, this](const StoreOutcome<Offset> &result, TimePoint now) {
            m_writes.erase(m_writes.begin());
            callback(result, now);
            if (!m_writes.empty()) {
                m_writes.front()();
            }
        };
        StoreOutcome<Offset> outcome;
        outcome.era = StoreEra(1);
        if (condition.sendBy && m_loop.now() > *condition.sendBy) {
            outcome.fault = StoreFault::Expired;
            answer<Offset>(finish, outcome);
            return;
        }
        const Duration delay = m_writeDelay ? m_writeDelay() : Duration::zero();
        m_log.schedule(m_loop.now() + OneWay + delay, [=, this](TimePoint now) mutable {
            if (condition.end && *condition.end != m_log.end(topic)) {
                outcome.fault = StoreFault::Conflict;
            } else {
                outcome.value = m_log.append(topic, record, now);
            }
            answer<Offset>(finish, outcome);
        });
    }

    StoreOutcome<RecordPage> finished(Topic topic, RecordPage page)
    {
        page.end = m_log.end(topic);
        return {std::move(page), StoreFault::Unexpected, "", StoreEra(1)};
    }

    template <typename T>
    void answer(std::function<void(StoreOutcome<T>, TimePoint)> callback, StoreOutcome<T> outcome)
    {
        m_loop.at(m_loop.now() + OneWay,
                  [callback = std::move(callback), outcome = std::move(outcome)](TimePoint now) {
                      callback(outcome, now);
                  });
    }

    EventLoop &m_loop;
    SharedLog &m_log;
    WriteDelay m_writeDelay;
    std::vector<std::function<void()>> m_writes; ///< The first one is under way.
};

/// Daemons in data centres of their own, so that each reads the store, and a rollout from v1 to v2.
class RolloutFleet
{
public:
    static constexpr Duration Step = 20ms;
    static constexpr double ExposeShare = 0.15;
    static constexpr int RequestsPerSecond = 20; ///< Of each daemon.
    static constexpr Duration FinishWithin = 24s;
    static constexpr Duration AnswerTime = 4s; ///< From the begin of a good answer to its end.
    static constexpr Duration EventGap = 15ms;

    struct Request
    {
        std::size_t daemon;
        bool toTarget;
        bool bad;
        TimePoint at;
    };

    /// Whether a request to the target at this time fails.
    using Failure = std::function<bool(TimePoint)>;

    RolloutFleet(std::size_t daemons, unsigned seed, Failure failure)
        : m_random(seed)
        , m_failure(std::move(failure))
    {
        add(Topic::Operator, "config", R"({"Version":1,"Routes":[],"Services":[]})");
        addServer("i-1", "v1");
        addServer("i-2", "v2");
        for (std::size_t i = 0; i < daemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>(clock, log, "d" + std::to_string(i)));
            const InstanceId id("d" + std::to_string(i));
            const MemberRegistered member{id, DataCentreId(id.value()), {"127.0.0.1", 1}, 0};
            log.append(Topic::Own, m_codec.encode(member), clock.time);
        }
        std::sort(m_daemons.begin(), m_daemons.end(), [](const auto &left, const auto &right) {
            return feedRank(left->id) < feedRank(right->id);
        });
        for (const auto &daemon : m_daemons) {
            daemon->follower.start();
            daemon->agent.start();
        }
        runFor(2s);
        add(Topic::Operator, "rollout/s",
            R"({"Service":"s","Target":"v2","FinishByS":)"
                + std::to_string(FinishWithin / Duration(1s)) + "}");
        orderedAt = clock.time;
    }

    /// The daemon does not run from now on, or runs again.
    void setPaused(std::size_t daemon, bool paused) { m_daemons.at(daemon)->paused = paused; }
    bool paused(std::size_t daemon) const { return m_daemons.at(daemon)->paused; }
    /// In the order in which they act; the first one has no others before it.
    SharedLogClient &store(std::size_t daemon) { return m_daemons.at(daemon)->store; }

    /// \p onStep is called before each step.
    void runFor(Duration span, const std::function<void()> &onStep = {})
    {
        const TimePoint until = clock.time + span;
        while (clock.time < until) {
            if (onStep) {
                onStep();
            }
            clock.time += Step;
            log.run(clock.time);
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (!m_daemons[i]->paused) {
                    run(*m_daemons[i]);
                    sendRequests(i);
                }
            }
        }
    }

    struct StoredState
    {
        RolloutState state;
        TimePoint at;
    };
    /// The states other than running in the order of the log.
    std::vector<StoredState> finalStates()
    {
        std::vector<StoredState> states;
        for (const AppendedRecord &record : log.content(Topic::Status)) {
            const FleetRecord decoded = m_codec.decode(Topic::Status, record.raw);
            const auto &reported = std::get<RolloutReported>(decoded);
            if (reported.state != RolloutState::Running) {
                states.push_back({reported.state, record.at});
            }
        }
        return states;
    }

    /// What the evidence says that had been stored until \p until.
    VersionVerdict storedVerdict(TimePoint until)
    {
        std::map<InstanceId, EvidenceCollected> collected;
        for (const AppendedRecord &record : log.content(Topic::Own)) {
            const FleetRecord decoded = m_codec.decode(Topic::Own, record.raw);
            const auto *evidence = std::get_if<EvidenceCollected>(&decoded);
            if (evidence != nullptr && record.at <= until) {
                collected[evidence->collector] = *evidence;
            }
        }
        const RolloutTotals totals = rolloutTotals(ServiceId("s"), VersionId("v2"), collected);
        return compareVersions(totals.target, totals.other);
    }

    ManualClock clock;
    SharedLog log;
    TimePoint orderedAt;
    std::vector<Request> requests;

private:
    struct IgnoringObserver : FleetObserver
    {
        void onRecord(ViewChange, const StoredRecord &, TimePoint) override { }
        void onBackendRemoved(const InstanceId &, const char *, TimePoint) override { }
        void onStoreLost(Topic, StoreFault, const std::string &, TimePoint) override { }
        void onStoreRegained(Topic, Duration, TimePoint) override { }
        void onStoreEra(StoreEra, StoreEra, TimePoint) override { }
        void onPageRead(Topic, const RecordPage &, bool, TimePoint) override { }
    };

    struct Daemon
    {
        Daemon(ManualClock &clock, SharedLog &log, const std::string &name)
            : id(name)
            , loop(clock)
            , store(loop, log)
            , follower(loop, store, codec, view, observer,
                       {1500ms, 500ms, 4s, 700ms, 200ms, 1000ms})
            , feed(loop, id, DataCentreId(name), view, follower, clock,
                   [](const InstanceId &, const char *) {})
            , lines("test", STDERR_FILENO, 0, clock)
            , agent(loop, id, store, codec, view, follower, feed, counts, {ExposeShare, 30}, lines)
        {
        }

        InstanceId id;
        EventLoop loop;
        SharedLogClient store;
        platform::PlatformRecordCodec codec;
        FleetView view;
        IgnoringObserver observer;
        FleetFollower follower;
        FeedClient feed;
        RolloutCounts counts;
        StructuredLog lines;
        RolloutAgent agent;
        bool paused = false;
    };

    void run(Daemon &daemon)
    {
        daemon.loop.at(clock.time, [&](TimePoint) { daemon.loop.stop(); });
        daemon.loop.run();
        daemon.loop.resume();
    }

    void sendRequests(std::size_t index)
    {
        Daemon &daemon = *m_daemons[index];
        const double expected = RequestsPerSecond * std::chrono::duration<double>(Step).count();
        if (m_unit(m_random) >= expected) {
            return;
        }
        const std::uint64_t session = m_random() << 32 | m_random();
        const VersionRule rule =
            rolloutRule(ServiceId("s"), {session, true}, daemon.view, ExposeShare, clock.time);
        const bool toTarget = rule.allows(VersionId("v2"));
        const bool bad = toTarget && m_failure(clock.time);
        const auto ticket =
            daemon.counts.onSent(ServiceId("s"), VersionId(toTarget ? "v2" : "v1"), clock.time);
        daemon.counts.onAnswerBegun(ticket, clock.time);
        daemon.loop.at(bad ? clock.time : clock.time + AnswerTime, [&, ticket, bad](TimePoint now) {
            daemon.counts.onEnded(ticket, !bad, EventGap, now);
        });
        requests.push_back({index, toTarget, bad, clock.time});
    }

    void add(Topic topic, const std::string &key, const std::string &value)
    {
        log.append(topic, {Offset(), key, value}, clock.time);
    }

    void addServer(const std::string &id, const std::string &version)
    {
        add(Topic::Backends, id,
            R"({"Service":"s","Address":"10.0.0.1:80","Zone":"here","Version":")" + version
                + R"(","Slots":6,"State":"ready","ColdMs":0,"Sequence":1,"born":1000})");
    }

    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_unit{0, 1};
    Failure m_failure;
    platform::PlatformRecordCodec m_codec;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace lycheearch
