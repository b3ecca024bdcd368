#pragma once

#include <mutex>
#include <set>
#include <string>

#include "Faults.h"
#include "Journal.h"

namespace lycheearch::standin {

/// Configuration of a simulated backend server.
struct BackendSpec
{
    std::string id;
    std::string kind; ///< "engine" or "service".
    std::string dataCentre;
    std::string backendClass;
    std::string service;
    std::set<std::string> versions;
    std::uint16_t port = 0;
    int warmLimit = 8; ///< Concurrent requests while warm; more are refused.
    int coldLimit = 1; ///< Concurrent requests while cold; more are recorded, not refused.
    int warmUpRequests = 3; ///< Requests after which a cold server is warm.
    std::int64_t tokenMicroseconds = 2000;
    std::int64_t callMicroseconds = 5000;
    bool startsCold = false;
};

/// State of one simulated backend server: its loaded versions, the requests in flight, and whether
/// it is cold. Records each request that it starts in the journal.
class StandInBackend
{
public:
    StandInBackend(BackendSpec spec, Journal &journal);

    const BackendSpec &spec() const { return m_spec; }
    Faults &faults() { return m_faults; }

    /// Returns the load report as JSON text.
    std::string report() const;
    /// Starts a request. Returns false if the server is warm and already runs warmLimit requests.
    bool begin(JournalEntry entry);
    /// Ends a request. While the server is cold, the request counts towards its warm-up.
    void end();
    /// Simulates a restart: the server is cold and has a new start id.
    void restartCold();
    bool isLoaded(const std::string &version) const;
    /// Loads ("load") or unloads a version. Returns an error message if \p fence is older than the
    /// newest fencing number received, otherwise an empty string.
    std::string order(const std::string &order, const std::string &version, std::int64_t fence);
    /// Identifies the server's current start; changes with each restart.
    std::string startId() const;

private:
    BackendSpec m_spec;
    Journal &m_journal;
    Faults m_faults;
    mutable std::mutex m_mutex;
    std::set<std::string> m_versions;
    int m_inFlight = 0;
    int m_startCount = 1;
    int m_warmUpRequestsLeft = 0;
    std::int64_t m_newestFence = -1;
};

} // namespace lycheearch::standin
