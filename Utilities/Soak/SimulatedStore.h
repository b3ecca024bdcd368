#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "AsyncServer.h"
#include "Base/Time.h"

namespace lycheearch::soak {

/// How the store handles requests.
enum class StoreMode {
    Normal,
    Refusing, ///< Answers 503 without effect.
    Silent, ///< Reads requests, but ignores them and sends no answer.
    LosingAnswers, ///< Appends records, but sends no answer to the append requests.
};

/// Simulates the platform's log store: keyed topics with one partition each.
class SimulatedStore
{
public:
    SimulatedStore(EventLoop &loop, const Endpoint &listen);

    /// Also listens on another host. Entries of backend servers that are read there have the host
    /// in place of their own, so that each daemon can have links of its own to the servers.
    void addHost(const Endpoint &listen);
    /// Appends a record, as the operator or a backend server does. An empty value deletes the key.
    void appendRecord(const std::string &topic, const std::string &key, const std::string &value);
    void setMode(StoreMode mode) { m_mode = mode; }
    /// Deletes the history of all topics: reads of earlier offsets fail with 410. The newest value
    /// of each key can still be listed.
    void compact();
    /// Comes back from a copy of the state \p age ago: later records are gone, their offsets are
    /// given out again, and the era that each answer states rises by one.
    void comeBackOlder(Duration age);
    /// Number of requests received so far.
    std::int64_t requestCount() const { return m_requestCount; }

private:
    struct Record
    {
        std::string key;
        std::string value;
        TimePoint appendedAt;
    };
    /// The newest record of a key.
    struct Newest
    {
        std::int64_t offset = 0;
        std::string value;
    };
    struct TopicLog
    {
        std::int64_t first = 0;
        std::vector<Record> records;
        std::map<std::string, Newest> newestAtFirst; ///< By key, when the history was deleted.
        std::map<std::string, Newest> newest; ///< By key.

        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };
    using Connection = std::shared_ptr<AsyncServer::Connection>;

    void onRequest(const Connection &connection, const HttpRequestHead &head,
                   const std::string &body);
    void read(const Connection &connection, const std::string &topic, std::int64_t from,
              Duration wait);
    /// The value of a record as it is read at the host of the connection.
    static std::string valueAt(const Connection &connection, const std::string &value);
    void listNewest(const Connection &connection, const std::string &topic);
    void append(const Connection &connection, const std::string &topic, const std::string &target,
                const std::string &body);
    void reply(const Connection &connection, int status, const std::string &body) const;
    void replyRecords(const Connection &connection, const TopicLog &topicLog,
                      std::int64_t from) const;
    void add(TopicLog &topicLog, Record record);

    EventLoop &m_loop;
    std::vector<std::unique_ptr<AsyncServer>> m_servers; ///< One for each host.
    StoreMode m_mode = StoreMode::Normal;
    std::map<std::string, TopicLog> m_topicLogs;
    std::int64_t m_era = 1;
    std::int64_t m_requestCount = 0;
};

} // namespace lycheearch::soak
