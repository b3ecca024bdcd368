#pragma once

#include <random>
#include <string>

#include "AsyncServer.h"
#include "Ledger.h"
#include "StoreStandIn.h"

namespace lycheearch::soak {

/// Plays one backend server: runs requests and records them in the ledger.
class RunnerStandIn
{
public:
    RunnerStandIn(EventLoop &loop, const Endpoint &listen, StoreStandIn &store, Ledger &ledger,
                  std::mt19937_64 &random);

    /// Starts under a new id and registers.
    void start();
    /// Stops without a word. Its entry is removed as if it had lapsed.
    void crash();
    /// Reports that it leaves; it must get no work \p bound later.
    void drain(Duration bound);
    bool up() const { return m_server.isOpen(); }
    /// Part of the answers that are broken off.
    void setBreakShare(double share) { m_breakShare = share; }

private:
    using Connection = std::shared_ptr<AsyncServer::Connection>;

    void onRequest(const Connection &connection, const HttpRequestHead &head);
    void runPlain(const Connection &connection, const std::string &id);
    void runStream(const Connection &connection, const std::string &id, int from);
    void registerEntry(const char *state);

    EventLoop &m_loop;
    Endpoint m_address;
    StoreStandIn &m_store;
    Ledger &m_ledger;
    std::mt19937_64 &m_random;
    AsyncServer m_server;
    std::string m_id;
    int m_start = 0;
    int m_sequence = 0;
    double m_breakShare = 0;
};

/// Events of each stream.
constexpr int StreamEvents = 8;
/// The body that answers a request.
std::string answerBody(const std::string &id);
/// The event of a stream.
std::string streamEvent(const std::string &id, int number);

} // namespace lycheearch::soak
