#pragma once

#include <map>
#include <set>
#include <string>

#include "Fleet/FleetStore.h"
#include "Fleet/FleetView.h"
#include "Fleet/FollowerTiming.h"
#include "Fleet/RecordMirror.h"
#include "Net/EventLoop.h"

namespace lycheearch {

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
    /// Records were read from the store itself. A \p listing holds all keys of the topic.
    virtual void onPageRead(Topic topic, const RecordPage &page, bool listing, TimePoint now) = 0;
};

/// Keeps a FleetView up to date: lists each topic once, then reads what is new. The operator's
/// records are waited for; those of the backend servers, which come many times a second, are read
/// in batches. While another daemon's feed is fresh, its pages take the place of reads. While the
/// store is away, the last view stays.
class FleetFollower
{
public:
    FleetFollower(EventLoop &loop, FleetStore &store, const RecordCodec &codec, FleetView &view,
                  FleetObserver &observer, FollowerTiming timing);
    ~FleetFollower();

    void start();
    /// Stops to read the store, or goes on with it, beginning at once.
    void setFed(bool fed);
    bool fed() const { return m_fed; }
    /// Another daemon stands before this one as a reader: while the store is away, this one asks
    /// less often.
    void setPatient(bool patient) { m_patient = patient; }
    /// A page that another daemon read.
    void applyFed(Topic topic, const RecordPage &page, bool listing, TimePoint now);
    /// Lists a topic again, now.
    void relist(Topic topic);
    /// Makes the next read of a topic due now.
    void hurry(Topic topic);

    /// Whether configuration and backend servers have been listed once.
    bool synced() const;
    /// How long an answer of the store itself about configuration or backend servers is overdue;
    /// nothing while this daemon is fed.
    std::optional<Duration> storeAge(TimePoint now) const;
    const RecordMirror &mirror() const { return m_mirror; }
    /// Offset at which a topic ends as far as it was read.
    Offset endOf(Topic topic) const;

private:
    /// Where this daemon is in one topic.
    struct Cursor
    {
        bool listed = false; ///< The topic was listed once.
        bool listing = false;
        bool calling = false; ///< A call is under way.
        std::string afterKey; ///< Where the next page of the listing begins.
        RecordPage pages; ///< Of the running listing.
        Offset next; ///< Offset of the next record to read.
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
    bool applyListing(Topic topic, const RecordPage &listing, TimePoint now);
    void applyRecords(Topic topic, const RecordPage &page, TimePoint now);
    void applyOne(Topic topic, const RawRecord &raw, TimePoint now);
    void retainListed(Topic topic, const RecordPage &listing, TimePoint now);
    bool isNeeded(Topic topic) const;
    bool succeeded(Topic topic, const StoreOutcome<RecordPage> &outcome, TimePoint now);
    /// Of the topics that are lost, one is asked for often, to find that the store is back.
    bool isProbe(Topic topic) const;
    /// Asks for all lost topics at once.
    void hurryLost();
    /// Another daemon's feed shows that the store is back.
    void clearLosses(TimePoint now);
    void regained(Topic topic, Duration lostFor, TimePoint now);
    void schedule(Topic topic, Duration delay);
    Duration pause(Topic topic) const;

    EventLoop &m_loop;
    FleetStore &m_store;
    const RecordCodec &m_codec;
    FleetView &m_view;
    FleetObserver &m_observer;
    FollowerTiming m_timing;
    std::map<Topic, Cursor> m_cursors;
    RecordMirror m_mirror;
    bool m_fed = false;
    bool m_patient = false;
    TimerId m_lapseTimer;
};

/// Whether an ordered rollout is neither complete nor rolled back.
bool rolloutUnderWay(const FleetView &view);

} // namespace lycheearch
