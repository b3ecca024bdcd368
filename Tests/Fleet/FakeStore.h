#pragma once

#include <map>
#include <vector>

#include "Fleet/FleetStore.h"

namespace lycheearch {

/// A store whose calls remain open until the test answers or fails them.
class FakeStore : public FleetStore
{
public:
    struct Call
    {
        bool listing = false;
        Offset from;
        Duration wait{};
        std::string afterKey;
        PageCallback callback;
    };
    struct Write
    {
        Topic topic = Topic::Own;
        RawRecord record;
        WriteCondition condition;
        WriteCallback callback;
    };

    void read(Topic topic, Offset from, Duration wait, PageCallback callback) override
    {
        calls[topic].push_back({false, from, wait, "", std::move(callback)});
    }
    void readNewest(Topic topic, const std::string &afterKey, PageCallback callback) override
    {
        calls[topic].push_back({true, Offset(), Duration::zero(), afterKey, std::move(callback)});
    }
    void append(Topic topic, const RawRecord &record, const WriteCondition &condition,
                WriteCallback callback) override
    {
        writes.push_back({topic, record, condition, std::move(callback)});
    }

    /// Answers the oldest open call of a topic.
    void answer(Topic topic, RecordPage page, TimePoint now)
    {
        Call call = take(topic);
        call.callback({std::move(page), StoreFault::Unexpected, "", era}, now);
    }
    void fail(Topic topic, StoreFault fault, TimePoint now)
    {
        Call call = take(topic);
        call.callback({std::nullopt, fault, "test", era}, now);
    }

    StoreEra era; ///< Era that the answers state.

    std::map<Topic, std::vector<Call>> calls;
    std::vector<Write> writes;

private:
    Call take(Topic topic)
    {
        std::vector<Call> &open = calls.at(topic);
        Call call = std::move(open.front());
        open.erase(open.begin());
        return call;
    }
};

} // namespace lycheearch
