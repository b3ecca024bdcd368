#pragma once

#include <functional>
#include <memory>
#include <string>

#include "AsyncServer.h"
#include "Record.h"
#include "SimulatedStore.h"

namespace lycheearch::review {

/// How a runner is registered in the store.
struct RunnerEntry
{
    std::string id;
    std::string service;
    std::string zone;
    Endpoint address;
    int slots = 16;
};

/// A request as a runner received it.
struct ReceivedRequest
{
    std::string id; ///< Attempt-Id.
    HttpRequestHead head;
    std::string body;

    std::string field(const std::string &name) const;
};

/// A runner: registers in the store, writes its entry again every heartbeat, and rejects requests
/// for other instances. What it does with its own requests, a handler decides.
class Runner
{
public:
    using Connection = std::shared_ptr<soak::AsyncServer::Connection>;
    using Handler = std::function<void(Runner &runner, const Connection &connection,
                                       const ReceivedRequest &request)>;

    Runner(EventLoop &loop, soak::SimulatedStore &store, Record &record, RunnerEntry entry,
           Handler handler);
    ~Runner();

    const std::string &id() const { return m_entry.id; }
    soak::AsyncServer &server() { return *m_server; }
    /// Number of the request among those that this runner ran, from 1 on.
    int count() const { return m_count; }
    /// Closes all connections and refuses new ones, like a process that was killed. Its entry
    /// stays.
    void crash();
    /// Starts again under the same id, and is cold for \p coldTime. Registers at once.
    void restart(Duration coldTime);
    bool isCold(TimePoint now) const { return now < m_coldUntil; }
    /// The fields that every answer to a request has that was run.
    static HttpFields answerFields(const ReceivedRequest &request);

private:
    void onRequest(const Connection &connection, const HttpRequestHead &head,
                   const std::string &body);
    void registerEntry();

    EventLoop &m_loop;
    soak::SimulatedStore &m_store;
    Record &m_record;
    RunnerEntry m_entry;
    Handler m_handler;
    std::unique_ptr<soak::AsyncServer> m_server;
    std::int64_t m_startedAt;
    TimePoint m_coldUntil;
    int m_sequence = 0;
    int m_count = 0;
    TimerId m_timer;
};

} // namespace lycheearch::review
