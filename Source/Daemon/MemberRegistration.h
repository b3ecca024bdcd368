#pragma once

#include <functional>

#include "Fleet/FleetStore.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// Writes this daemon's member record to the store and renews it before it expires. Failed writes
/// are repeated less and less often, so that a fleet does not add to the load of a store in
/// trouble.
class MemberRegistration
{
public:
    /// Called after each attempt, whether it succeeded or not.
    using AttemptCallback = std::function<void(TimePoint now)>;

    /// \p member is the record to write; its time is set with each write.
    MemberRegistration(EventLoop &loop, FleetStore &store, const RecordCodec &codec,
                       const Clock &clock, MemberRegistered member, AttemptCallback onAttempt);
    ~MemberRegistration();

    void start();
    /// The store answers again: repeats a failed write soon.
    void onStoreRegained(TimePoint now);
    /// The store came back from an older copy, which may lack the record.
    void onStoreEra(TimePoint now);

private:
    void write(TimePoint now);
    void onOutcome(bool written, TimePoint now);
    void schedule(TimePoint at);
    /// Spreads the writes of a fleet that learns of the same event.
    Duration spread() const;

    EventLoop &m_loop;
    FleetStore &m_store;
    const RecordCodec &m_codec;
    const Clock &m_clock;
    MemberRegistered m_member;
    AttemptCallback m_onAttempt;
    Duration m_retryDelay; ///< Delay after the next failed write.
    bool m_failed = false; ///< The last write failed.
    bool m_inFlight = false;
    TimerId m_timer;
};

} // namespace lycheearch
