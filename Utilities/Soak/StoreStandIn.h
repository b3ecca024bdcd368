#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "AsyncServer.h"
#include "Base/Time.h"

namespace lycheearch::soak {

/// How the store handles requests.
enum class StoreMood {
    Well,
    Refusing, ///< Answers 503 without effect.
    Silent, ///< Accepts requests, ignores and never answers them.
    Forgetful, ///< Appends records but sends no answer to appends.
};

/// Simulates the platform's log store: keyed topics with one partition each.
class StoreStandIn
{
public:
    StoreStandIn(EventLoop &loop, const Endpoint &listen);

    /// Appends a record, as the operator or a backend server does. An empty value deletes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    void setMood(StoreMood mood) { m_mood = mood; }
    /// Deletes the history of all topics: reads of earlier offsets fail with 410. The newest value
    /// of each key can still be listed.
    void compact();
    /// Number of requests received so far.
    std::int64_t calls() const { return m_calls; }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };
    struct Stream
    {
        std::int64_t first = 0;
        std::vector<Record> records;
        std::map<std::string, std::int64_t> newest; ///< By key.
        std::map<std::string, std::string> values; ///< By key.

        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };
    using Connection = std::shared_ptr<AsyncServer::Connection>;

    void onRequest(const Connection &connection, const HttpRequestHead &head,
                   const std::string &body);
    void read(const Connection &connection, const std::string &topic, std::int64_t from,
              Duration wait);
    void list(const Connection &connection, const std::string &topic);
    void append(const Connection &connection, const std::string &topic, const std::string &target,
                const std::string &body);
    static void replyRaw(const Connection &connection, const Stream &stream, std::int64_t from);
    void add(Stream &stream, Record record);

    EventLoop &m_loop;
    AsyncServer m_server;
    StoreMood m_mood = StoreMood::Well;
    std::map<std::string, Stream> m_streams;
    std::int64_t m_calls = 0;
};

} // namespace lycheearch::soak
