#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Fleet/FleetStore.h"
#include "Fleet/FleetView.h"
#include "Fleet/FollowerTiming.h"
#include "Fleet/RecordDecoder.h"
#include "Fleet/RecordMirror.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// Receives the events of a FleetFollower. Called from the event loop.
class FleetObserver
{
public:
    virtual ~FleetObserver() = default;
    /// A record was read; \p change is what it changed in the view.
    virtual void onRecord(ViewChange change, const StoredRecord &record, TimePoint now) = 0;
    /// A backend server was removed from the view, because a listing lacks it or its entry lapsed.
    virtual void onBackendRemoved(const InstanceId &id, const char *reason, TimePoint now) = 0;
    /// The first failed call for a topic, at the start or after a successful one.
    virtual void onStoreLost(Topic topic, StoreFault fault, const std::string &detail,
                             TimePoint now) = 0;
    /// The first successful call for a topic after failed ones, or the switch to a feed.
    virtual void onStoreRegained(Topic topic, Duration lostFor, TimePoint now) = 0;
    /// The store came back from an older copy.
    virtual void onStoreEra(StoreEra previous, StoreEra era, TimePoint now) = 0;
    /// Records were read from the store, or received from a feed that is not followed. With
    /// \p listing, \p page is a full listing of the topic; otherwise it holds only new records.
    virtual void onPageRead(Topic topic, const RecordPage &page, bool listing, TimePoint now) = 0;
};

/// Keeps a FleetView up to date: lists each topic once, then reads new records. The operator's
/// records are read by long polling; those of the backend servers, which arrive many times a
/// second, are read periodically in batches. While another daemon's feed is fresh, its pages
/// replace reads of the store. While the store is unavailable, the last view remains in use.
///
/// If the store comes back from an older copy, its era rises and offsets start again from the copy.
/// The follower then lists all topics again. What the copy lacks is written again by its writers,
/// so for EraSettleTime nothing is removed from the view, and the operator's orders in the copy,
/// which may be older than the view, are ignored. After that time, the topics are listed once more
/// and the view follows the listing.
class FleetFollower
{
public:
    /// Time for the operator and the backend servers to write their records again after the store
    /// came back from an older copy.
    static constexpr Duration EraSettleTime = 4s;

    FleetFollower(EventLoop &loop, FleetStore &store, const RecordCodec &codec, FleetView &view,
                  FleetObserver &observer, FollowerTiming timing);
    ~FleetFollower();

    /// Lists all topics.
    void start();
    /// Switches to the feed of another daemon and pauses reads of the store, or resumes these reads
    /// immediately.
    void setFollowingFeed(bool followingFeed);
    bool followingFeed() const { return m_followingFeed; }
    /// Sets whether another daemon of the data centre reads the store in preference to this one. If
    /// so, this daemon retries less often while the store is unavailable.
    void setBackupReader(bool backupReader) { m_backupReader = backupReader; }
    /// Applies a page that another daemon read. Ignores outdated listings, and pages that start
    /// after nextOffset(), because records in between would be missing: the next read returns
    /// them, or a listing if this daemon follows the feed. Unless it does, a page with news is
    /// passed on to the observer like one that was read, for the followers of this daemon.
    void applyFeedPage(Topic topic, const RecordPage &page, bool listing, TimePoint now);
    /// Requests a listing of a topic. It starts without delay; if a call is in flight, it starts at
    /// the next regular read instead. A listing already in progress satisfies the request.
    void relist(Topic topic);
    /// Schedules the next read of a topic without delay, unless a call is in flight.
    void pollNow(Topic topic);

    /// Reads the topic to its end by a call that is made from now on, as soon as possible, and then
    /// calls \p callback. Replaces an earlier request that is still waiting. While reads fail, or
    /// this daemon follows a feed, the request waits.
    void confirm(Topic topic, std::function<void(TimePoint)> callback);

    /// Whether a configuration was read and all topics that are needed have been listed once.
    bool synced() const;
    /// Time for which the store has owed an answer that reaches the end of the operator's records
    /// or of the backend servers' reports, whichever is longer; zero if it owes neither. Calls that
    /// this daemon has yet to make don't count, so a delay of its own is no staleness of the store.
    /// std::nullopt while this daemon follows a feed or is not synced.
    std::optional<Duration> storeStaleness(TimePoint now) const;
    /// Time as of which the topic was read to its end: when the last call that reached it was made.
    /// Unset before the first.
    TimePoint currentAt(Topic topic) const;
    /// Whether the last call for any topic failed. False while this daemon follows a feed.
    bool storeLost() const;
    const RecordMirror &mirror() const { return m_mirror; }
    /// Offset that follows the last record read of a topic.
    Offset nextOffset(Topic topic) const;
    /// Number of records that the topic is known to hold after \p offset. Greater than zero if a
    /// page ended before the topic did.
    std::int64_t recordsAfter(Topic topic, Offset offset) const;
    /// Newest era that was read of the store or received from a feed.
    StoreEra era() const { return m_era; }
    /// Whether a topic was listed in the present era.
    bool listedInEra(Topic topic) const;

private:
    /// Read position and call state of one topic.
    struct Cursor
    {
        bool listed = false; ///< A full listing was applied.
        bool listing = false; ///< A listing is due or in progress.
        bool callInFlight = false;
        std::string afterKey; ///< Last key of the previous listing page; empty for the first.
        RecordPage partialListing; ///< Records of the listing in progress.
        StoreEra era; ///< Era of \c next.
        Offset next; ///< Offset of the next record to read.
        Offset end; ///< Where the topic ended according to the last page.
        bool lost = false; ///< Calls for this topic fail.
        TimePoint lostAt;
        TimePoint readAt; ///< Last read of the store that reached the end of the topic.
        TimePoint calledAt; ///< When the last call was made.
        TimePoint currentAt; ///< When the call was made that was answered at \c readAt.
        /// When the first call since \c readAt should have been answered. Unset until it is made.
        std::optional<TimePoint> answerDueAt;
        Duration retryDelay{};
        TimerId timer;
        TimePoint confirmFrom; ///< Earliest call that serves \c onConfirmed.
        std::function<void(TimePoint)> onConfirmed; ///< See confirm(); empty if not requested.
    };

    /// What a listing names of the records that disappear from a topic.
    struct ListedNames
    {
        void add(const FleetRecord &record);

        std::set<InstanceId> backends;
        std::set<DataCentreId> evacuations;
        std::set<ServiceId> rollouts;
    };

    void pollTopic(Topic topic);
    /// A call is made that the store should answer after \p wait.
    void expectAnswer(Cursor &cursor, Duration wait);
    static void setReadToEnd(Cursor &cursor, TimePoint now);
    /// Calls what waits for a call that was made as late as the last one.
    void finishConfirmation(Topic topic, TimePoint now);
    /// Time by which the answer to a call for the topic is overdue; zero or less if it isn't.
    Duration overdueTime(Topic topic, TimePoint now) const;
    void listTopic(Topic topic);
    void readNewRecords(Topic topic);
    void onListingPage(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now);
    void onNewRecords(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now);
    /// Compares the era of an answer or a page with the present one, and enters a newer one.
    /// Returns whether the answer is of the present era and can be applied.
    bool admitEra(Topic topic, StoreEra era, TimePoint now);
    void enterEra(StoreEra era, TimePoint now);
    bool settling(TimePoint now) const { return now < m_settledAt; }
    /// Whether a listed record may be older than what the view holds, so that it is not applied.
    bool mayBeOlder(Topic topic, const FleetRecord &record, TimePoint now) const;
    bool applyListing(Topic topic, const RecordPage &listing, TimePoint now);
    /// Returns false if records before the page are missing, so that it was not applied.
    bool applyRecords(Topic topic, const RecordPage &page, TimePoint now);
    StoredRecord decode(Topic topic, const RawRecord &raw);
    void applyRecord(Topic topic, const StoredRecord &stored, TimePoint now);
    void retainListed(Topic topic, const ListedNames &listed, TimePoint now);
    bool isNeeded(Topic topic) const;
    /// Updates the retry state of a topic. Returns whether the call succeeded.
    bool checkOutcome(Topic topic, const StoreOutcome<RecordPage> &outcome, TimePoint now);
    /// Whether this topic probes the store. Only the first of the lost topics is retried often, to
    /// detect that the store is available again.
    bool isProbeTopic(Topic topic) const;
    /// Retries all lost topics without delay.
    void retryLostTopics();
    /// Marks all lost topics as regained when this daemon switches to a feed, because a fresh feed
    /// shows that the store is available again.
    void clearLostTopics(TimePoint now);
    void onTopicRegained(Topic topic, Duration lostFor, TimePoint now);
    void schedule(Topic topic, Duration delay);
    /// Time until the next read of a topic that has been read to its end.
    Duration pollInterval(Topic topic) const;

    EventLoop &m_loop;
    FleetStore &m_store;
    RecordDecoder m_decoder;
    FleetView &m_view;
    FleetObserver &m_observer;
    FollowerTiming m_timing;
    std::map<Topic, Cursor> m_cursors;
    RecordMirror m_mirror;
    StoreEra m_era;
    TimePoint m_settledAt; ///< End of EraSettleTime after the last change of the era.
    TimerId m_settleTimer;
    bool m_followingFeed = false;
    bool m_backupReader = false;
    TimerId m_lapseTimer;
};

/// Whether any ordered rollout has no final state.
bool rolloutUnderWay(const FleetView &view);

} // namespace lycheearch
