#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::standin {

/// One request that a backend server began to run.
struct JournalEntry
{
    std::int64_t atMicroseconds = 0; ///< Calendar time of the start.
    std::string backend;
    std::string dataCentre;
    std::string request;
    std::string subject; ///< Version or operation.
    std::string effect; ///< What the call is about, as its body says; empty for generations.
    int inFlight = 0; ///< Requests at once, with this one.
    bool cold = false;
    bool overColdLimit = false;
    std::int64_t resumedFrom = 0;
};

/// What the backend servers saw: the ground truth of an experiment.
class Journal
{
public:
    void add(JournalEntry entry);
    /// The entries from \p first on, as JSON text.
    std::string text(std::size_t first) const;
    void clear();

private:
    mutable std::mutex m_mutex;
    std::vector<JournalEntry> m_entries;
};

} // namespace lycheearch::standin
