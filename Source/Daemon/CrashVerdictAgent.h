#pragma once

#include <set>

#include "Base/Time.h"
#include "Fleet/FleetFollower.h"
#include "Log/StructuredLog.h"
#include "Net/EventLoop.h"
#include "Routing/CrashTable.h"

namespace lycheearch {

/// Keeps the condemned prompt parts in the store, so that daemons know them that start when no
/// other daemon is left to tell them, and logs each decision. Only the daemons that read the store
/// write there.
class CrashVerdictAgent
{
public:
    CrashVerdictAgent(EventLoop &loop, FleetStore &store, const RecordCodec &codec,
                      const FleetFollower &follower, CrashTable &table, StructuredLog &log,
                      const Clock &clock);
    ~CrashVerdictAgent();

    void start();
    /// A record of a condemned part was read.
    void onRecord(const PromptPartCondemned &record, TimePoint now);
    /// The store came back from an older copy, which may lack records that were written.
    void onStoreEra() { m_written.clear(); }

private:
    void step(TimePoint now);
    void logVerdicts(TimePoint now);
    void writeMissing(TimePoint now);

    EventLoop &m_loop;
    FleetStore &m_store;
    const RecordCodec &m_codec;
    const FleetFollower &m_follower;
    CrashTable &m_table;
    StructuredLog &m_log;
    const Clock &m_clock;
    std::set<SuspectKey> m_written; ///< Acknowledged by the store, or read from it.
    bool m_writeInFlight = false;
    TimerId m_timer;
};

} // namespace lycheearch
