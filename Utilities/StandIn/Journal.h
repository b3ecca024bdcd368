#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::standin {

/// One request that a backend server started to run.
struct JournalEntry
{
    std::int64_t atMicroseconds = 0; ///< Wall-clock time of the start, since the Unix epoch.
    std::string backend;
    std::string dataCentre;
    std::string request;
    std::string subject; ///< Version of a generation, operation of a call.
    std::string effect; ///< Nonce in the body of a call; empty for generations.
    int inFlight = 0; ///< Concurrent requests on the server, including this one.
    bool cold = false;
    bool overColdLimit = false;
    std::int64_t resumedFrom = 0; ///< Position of the first token; 0 unless resumed.
};

/// Records the requests that all backend servers started to run. A trial checks the answers of the
/// daemons against it.
class Journal
{
public:
    void add(JournalEntry entry);
    /// Returns the entries from index \p first on as JSON text.
    std::string text(std::size_t first) const;
    void clear();

private:
    mutable std::mutex m_mutex;
    std::vector<JournalEntry> m_entries;
};

} // namespace lycheearch::standin
