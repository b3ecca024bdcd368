#pragma once

#include <mutex>
#include <set>
#include <string>

#include "Faults.h"
#include "Journal.h"

namespace lycheearch::standin {

/// What a backend server of the stand-in is like.
struct BackendSpec
{
    std::string id;
    std::string kind; ///< "engine" or "service".
    std::string dataCentre;
    std::string backendClass;
    std::string service;
    std::set<std::string> versions;
    std::uint16_t port = 0;
    int warmLimit = 8;
    int coldLimit = 1;
    int warmUpRequests = 3; ///< Requests after which a cold server is warm.
    std::int64_t tokenMicroseconds = 2000;
    std::int64_t callMicroseconds = 5000;
    bool startsCold = false;
};

/// State of one backend server: warm or cold, and what it runs.
class StandInBackend
{
public:
    StandInBackend(BackendSpec spec, Journal &journal);

    const BackendSpec &spec() const { return m_spec; }
    Faults &faults() { return m_faults; }

    std::string report() const;
    /// Begins a request. Returns false if the server refuses it as overloaded.
    bool begin(JournalEntry entry);
    void end();
    /// Loses the warm state.
    void turnCold();
    bool serves(const std::string &version) const;
    /// Carries out an order; returns an error text or an empty one.
    std::string order(const std::string &order, const std::string &version, std::int64_t fence);
    std::string startId() const;

private:
    BackendSpec m_spec;
    Journal &m_journal;
    Faults m_faults;
    mutable std::mutex m_mutex;
    std::set<std::string> m_versions;
    int m_inFlight = 0;
    int m_starts = 1;
    int m_warmUpLeft = 0;
    std::int64_t m_newestFence = -1;
};

} // namespace lycheearch::standin
