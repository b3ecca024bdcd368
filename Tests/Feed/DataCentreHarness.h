#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "ClientLimitCounter.h"
#include "Feed/FeedHarness.h"
#include "FreePort.h"
#include "ManualLoop.h"

namespace lycheearch {

/// Daemons of one data centre in the feed order. The store serves some of them and turns the others
/// away.
struct DataCentre
{
    struct Daemon
    {
        std::unique_ptr<TestDaemon> state;
        std::unique_ptr<FeedServer> server;
        std::unique_ptr<FeedClient> client;
        bool served = true; ///< The store answers its calls.
        bool silent = false; ///< The store neither answers nor refuses them.
        int sourcesFollowed = 0;
        std::string lastReason; ///< Of the last change of the source.
    };

    explicit DataCentre(std::size_t size)
        : loop(clock)
    {
        for (std::size_t i = 0; i < size; ++i) {
            members.push_back({InstanceId("daemon-" + std::to_string(i)),
                               DataCentreId("here"),
                               {"127.0.0.1", freePort()},
                               wallMilliseconds(clock)});
        }
        std::sort(members.begin(), members.end(), [](const auto &left, const auto &right) {
            return feedRank(left.instance) < feedRank(right.instance);
        });
        for (const MemberRegistered &member : members) {
            start(member);
        }
        answerCalls(clock.now());
    }

    void start(const MemberRegistered &member)
    {
        daemons.push_back(std::make_unique<Daemon>());
        Daemon &daemon = *daemons.back();
        daemon.state = std::make_unique<TestDaemon>(loop);
        std::error_code error;
        daemon.server = std::make_unique<FeedServer>(
            loop, member.feed, daemon.state->follower, [](const FeedEvidence &) {},
            [](const FeedLoad &, TimePoint) {}, FeedLimits{}, unusedLimitObserver(), error);
        cr_assert_not(error);
        daemon.state->observer.server = daemon.server.get();
        daemon.state->startAndList(clock.now(), members);
        daemon.client = std::make_unique<FeedClient>(
            loop, member.instance, DataCentreId("here"), daemon.state->view, daemon.state->follower,
            clock, [&daemon](const InstanceId &source, const char *reason) {
                daemon.sourcesFollowed += source.empty() ? 0 : 1;
                daemon.lastReason = reason;
            });
        daemon.client->onLoad([](const FeedLoad &, TimePoint) {});
        daemon.client->start();
    }

    /// Answers each open call every 50 ms: with the records from its offset on, or with a refusal.
    void answerCalls(TimePoint now)
    {
        for (const auto &daemon : daemons) {
            for (const Topic topic : {Topic::Operator, Topic::Backends, Topic::Own}) {
                if (!daemon->silent && !daemon->state->store.calls[topic].empty()) {
                    answer(*daemon, topic, now);
                }
            }
        }
        loop.at(now + 50ms, [this](TimePoint due) { answerCalls(due); });
    }

    void answer(Daemon &daemon, Topic topic, TimePoint now)
    {
        if (!daemon.served) {
            daemon.state->store.fail(topic, StoreFault::Refused, now);
            return;
        }
        RecordPage page;
        page.end = daemon.state->follower.nextOffset(topic);
        if (topic == Topic::Operator && published) {
            page.end = Offset(2);
            if (daemon.state->follower.nextOffset(topic) < page.end) {
                page.records = {
                    {Offset(1), "config", R"({"Version":2,"Routes":[],"Services":[]})"}};
            }
        }
        daemon.state->store.answer(topic, page, now);
    }

    int version(std::size_t daemon) const
    {
        return static_cast<int>(daemons[daemon]->state->view.table()->version().value());
    }

    void runFor(Duration span) { runLoopFor(clock, loop, span); }

    ManualClock clock;
    EventLoop loop;
    std::vector<MemberRegistered> members;
    std::vector<std::unique_ptr<Daemon>> daemons;
    bool published = false; ///< The second version of the configuration.
};

} // namespace lycheearch
