#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "Http.h"
#include "Store.h"

namespace review {

/// What a runner says of itself in the store.
struct RunnerEntry
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    int slots = 1;
};

/// A runner: a server that registers itself in the store and answers requests of the daemons.
class Runner
{
public:
    /// Answers one request. Returns whether the connection stays open.
    using Answer = std::function<bool(const HttpMessage &request, Connection &connection)>;

    Runner(Store &store, RunnerEntry entry, Answer answer);

    const RunnerEntry &entry() const { return m_entry; }
    const Address &address() const { return m_server.address(); }
    /// Writes the entry of the runner to the store.
    void registerAs(const std::string &state);

private:
    void serve(Connection &connection);

    Store &m_store;
    RunnerEntry m_entry;
    Answer m_answer;
    std::atomic<int> m_sequence = 0;
    long m_born;
    Server m_server;
};

/// The head of a runner's answer to a request, up to the blank line but without it.
std::string answerHead(const HttpMessage &request, int status);
/// A whole answer with a body of a length.
std::string answerWithBody(const HttpMessage &request, int status, const std::string &body);
std::string chunk(const std::string &bytes);
/// One event of a stream.
std::string event(int id, const std::string &data);

/// Answers a stream of \p events, the first after \p first, the others every \p gap. Returns false
/// if the connection was lost.
bool answerStream(const HttpMessage &request, Connection &connection, int events,
                  Milliseconds first, Milliseconds gap);

} // namespace review
