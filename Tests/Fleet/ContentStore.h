#pragma once

#include <map>

#include "Fleet/FleetStore.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// A store in memory that answers each call at once, from the event loop. The test can bring it
/// back from an older copy.
class ContentStore : public FleetStore
{
public:
    explicit ContentStore(EventLoop &loop)
        : m_loop(loop)
    {
    }

    void read(Topic topic, Offset from, Duration, PageCallback callback) override
    {
        StoreOutcome<RecordPage> outcome;
        outcome.era = m_era;
        if (from > end(topic)) {
            outcome.fault = StoreFault::Truncated;
        } else {
            RecordPage page;
            page.end = end(topic);
            for (const RawRecord &record : m_content[topic]) {
                if (record.offset >= from) {
                    page.records.push_back(record);
                }
            }
            outcome.value = std::move(page);
        }
        answer(std::move(callback), std::move(outcome));
    }

    void readNewest(Topic topic, const std::string &, PageCallback callback) override
    {
        std::map<std::string, RawRecord> newest;
        for (const RawRecord &record : m_content[topic]) {
            newest[record.key] = record;
        }
        RecordPage page;
        page.end = end(topic);
        for (const auto &[key, record] : newest) {
            page.records.push_back(record);
        }
        answer(std::move(callback), {std::move(page), StoreFault::Unexpected, "", m_era});
    }

    void append(Topic topic, const RawRecord &record, const WriteCondition &condition,
                WriteCallback callback) override
    {
        StoreOutcome<Offset> outcome;
        outcome.era = m_era;
        if (condition.end && *condition.end != end(topic)) {
            outcome.fault = StoreFault::Conflict;
        } else {
            outcome.value = end(topic);
            add(topic, record);
            ++appended[record.key];
        }
        answer(std::move(callback), std::move(outcome));
    }

    void add(Topic topic, RawRecord record)
    {
        record.offset = end(topic);
        m_content[topic].push_back(std::move(record));
    }

    /// Comes back with the first \p records records of a topic only.
    void comeBackOlder(Topic topic, std::size_t records)
    {
        m_content[topic].resize(records);
        m_era = StoreEra(m_era.value() + 1);
    }

    std::vector<RawRecord> &content(Topic topic) { return m_content[topic]; }

    std::map<std::string, int> appended; ///< Number of appended records by key.

private:
    Offset end(Topic topic) { return Offset(static_cast<std::int64_t>(m_content[topic].size())); }

    template <typename T>
    void answer(std::function<void(StoreOutcome<T>, TimePoint)> callback, StoreOutcome<T> outcome)
    {
        m_loop.at(m_loop.now() + 10ms,
                  [callback = std::move(callback), outcome = std::move(outcome)](TimePoint now) {
                      callback(outcome, now);
                  });
    }

    EventLoop &m_loop;
    std::map<Topic, std::vector<RawRecord>> m_content;
    StoreEra m_era{1};
};

} // namespace lycheearch
