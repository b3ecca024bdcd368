#pragma once

#include <map>
#include <set>
#include <string>

#include "Fleet/FleetStore.h"
#include "Fleet/FleetView.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// How often the store is asked.
struct FollowerTiming
{
    Duration operatorWait{}; ///< How long the store holds a read of the operator's records.
    Duration backendsPeriod{}; ///< Between two reads of the backend servers' reports.
    Duration rolloutPeriod{}; ///< Between two reads of what a running rollout needs.
    Duration retryDelay{}; ///< After the first failed call; doubles up to the limit below.
    Duration retryDelayLimit{};
};

/// Is told what the follower learns.
class FleetObserver
{
public:
    virtual ~FleetObserver() = default;
    virtual void onRecord(ViewChange change, const StoredRecord &record, TimePoint now) = 0;
    virtual void onBackendDropped(const InstanceId &id, const char *reason, TimePoint now) = 0;
    virtual void onStoreLost(Topic topic, StoreFault fault, const std::string &detail,
                             TimePoint now) = 0;
    virtual void onStoreRegained(Topic topic, Duration lostFor, TimePoint now) = 0;
};

/// Keeps a FleetView up to date from the store: lists each topic once, then reads what is new.
/// The operator's records are waited for; those of the backend servers, which come many times a
/// second, are read in batches. Goes on with the last view while the store is away.
class FleetFollower
{
public:
    FleetFollower(EventLoop &loop, FleetStore &store, FleetView &view, FleetObserver &observer,
                  FollowerTiming timing);
    ~FleetFollower();

    void start();
    /// Whether configuration and backend servers have been listed once.
    bool synced() const;
    /// The store answered the last call of each topic.
    bool inContact() const;
    /// When the backend servers' reports were last read.
    TimePoint backendsReadAt() const;

private:
    /// Where this daemon is in one topic.
    struct Cursor
    {
        bool listed = false; ///< The topic was listed once.
        bool listing = false;
        std::string afterKey; ///< Where the next page of the listing begins.
        Offset listEnd; ///< End of the topic as the first page told.
        Offset next; ///< Offset of the next record to read.
        std::set<InstanceId> backends; ///< Named by the running listing.
        std::set<DataCentreId> evacuations;
        std::set<ServiceId> rollouts;
        bool lost = false;
        TimePoint lostAt;
        TimePoint readAt;
        Duration retryDelay{};
        TimerId timer;
    };

    void step(Topic topic);
    void list(Topic topic);
    void tail(Topic topic);
    void onListed(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now);
    void onTail(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now);
    void finishListing(Topic topic, TimePoint now);
    void noteListed(Cursor &cursor, const FleetRecord &record);
    void applyPage(Cursor &cursor, const RecordPage &page, TimePoint now);
    bool succeeded(Topic topic, const StoreOutcome<RecordPage> &outcome, TimePoint now);
    void schedule(Topic topic, Duration delay);
    Duration pause(Topic topic) const;
    bool rolloutRunning() const;

    EventLoop &m_loop;
    FleetStore &m_store;
    FleetView &m_view;
    FleetObserver &m_observer;
    FollowerTiming m_timing;
    std::map<Topic, Cursor> m_cursors;
    TimerId m_lapseTimer;
};

} // namespace lycheearch
