#include "Fleet/FleetFollower.h"

#include <algorithm>
#include <utility>

namespace lycheearch {

namespace {

/// Upper limit of the retry delay while another daemon reads the store in preference to this one.
constexpr Duration BackupRetryDelayLimit = 4s;

/// Minimum retry delay of a lost topic while another lost topic probes the store.
constexpr Duration NonProbeRetryDelay = 4s;

/// No backend entry lapses during a shorter outage, so the grace period is not started.
constexpr Duration MinOutageForLapse = 1500ms;

} // namespace

FleetFollower::FleetFollower(EventLoop &loop, FleetStore &store, const RecordCodec &codec,
                             FleetView &view, FleetObserver &observer, FollowerTiming timing)
    : m_loop(loop)
    , m_store(store)
    , m_decoder(codec)
    , m_view(view)
    , m_observer(observer)
    , m_timing(timing)
{
}

FleetFollower::~FleetFollower()
{
    m_loop.cancel(m_lapseTimer);
    m_loop.cancel(m_settleTimer);
    for (auto &[topic, cursor] : m_cursors) {
        m_loop.cancel(cursor.timer);
    }
}

void FleetFollower::start()
{
    for (const Topic topic : AllTopics) {
        m_cursors[topic].retryDelay = m_timing.retryDelay;
        pollTopic(topic);
    }
}

void FleetFollower::setFollowingFeed(bool followingFeed)
{
    if (m_followingFeed == followingFeed) {
        return;
    }
    m_followingFeed = followingFeed;
    if (followingFeed) {
        clearLostTopics(m_loop.now());
    } else {
        for (const Topic topic : AllTopics) {
            // The feed's time is no time in which the store answered.
            Cursor &cursor = m_cursors[topic];
            cursor.answerDueAt = cursor.answerDueAt.value_or(cursor.readAt);
            pollNow(topic);
        }
    }
}

void FleetFollower::pollNow(Topic topic)
{
    if (!m_cursors[topic].callInFlight) {
        schedule(topic, Duration::zero());
    }
}

void FleetFollower::relist(Topic topic)
{
    m_cursors[topic].listing = true;
    pollNow(topic);
}

void FleetFollower::confirm(Topic topic, std::function<void(TimePoint)> callback)
{
    Cursor &cursor = m_cursors[topic];
    if (!cursor.onConfirmed) {
        cursor.confirmFrom = m_loop.now();
    }
    cursor.onConfirmed = std::move(callback);
    pollNow(topic);
}

void FleetFollower::finishConfirmation(Topic topic, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (cursor.onConfirmed && cursor.calledAt >= cursor.confirmFrom) {
        std::exchange(cursor.onConfirmed, nullptr)(now);
    }
}

bool FleetFollower::synced() const
{
    const auto listed = [&](Topic topic) {
        const auto found = m_cursors.find(topic);
        return found != m_cursors.end() && found->second.listed;
    };
    return m_view.table() && listed(Topic::Operator) && listed(Topic::Backends)
        && listed(Topic::Own) && (listed(Topic::Status) || m_view.rollouts().empty());
}

std::optional<Duration> FleetFollower::storeStaleness(TimePoint now) const
{
    if (m_followingFeed || !synced()) {
        return std::nullopt;
    }
    return std::max(
        {overdueTime(Topic::Backends, now), overdueTime(Topic::Operator, now), Duration::zero()});
}

Duration FleetFollower::overdueTime(Topic topic, TimePoint now) const
{
    const std::optional<TimePoint> &dueAt = m_cursors.at(topic).answerDueAt;
    return dueAt ? now - *dueAt : Duration::zero();
}

TimePoint FleetFollower::currentAt(Topic topic) const
{
    const auto found = m_cursors.find(topic);
    return found == m_cursors.end() ? TimePoint() : found->second.currentAt;
}

bool FleetFollower::storeLost() const
{
    return !m_followingFeed
        && std::any_of(m_cursors.begin(), m_cursors.end(),
                       [](const auto &entry) { return entry.second.lost; });
}

Offset FleetFollower::nextOffset(Topic topic) const
{
    const auto found = m_cursors.find(topic);
    return found == m_cursors.end() ? Offset() : found->second.next;
}

std::int64_t FleetFollower::recordsAfter(Topic topic, Offset offset) const
{
    const auto found = m_cursors.find(topic);
    if (found == m_cursors.end()) {
        return 0;
    }
    return std::max<std::int64_t>(found->second.end.value() - offset.next().value(), 0);
}

bool FleetFollower::isNeeded(Topic topic) const
{
    // Rollout states are needed only once a rollout is ordered.
    return topic != Topic::Status || !m_view.rollouts().empty();
}

void FleetFollower::pollTopic(Topic topic)
{
    Cursor &cursor = m_cursors[topic];
    if (cursor.callInFlight || (m_followingFeed && cursor.listed && !cursor.listing)
        || !isNeeded(topic)) {
        return;
    }
    if (!cursor.listed || cursor.listing) {
        listTopic(topic);
    } else if (topic != Topic::Status) {
        // The status topic is only listed: the daemons write it themselves and exchange rollout
        // progress in Topic::Own.
        readNewRecords(topic);
    }
}

void FleetFollower::expectAnswer(Cursor &cursor, Duration wait)
{
    cursor.callInFlight = true;
    cursor.calledAt = m_loop.now();
    if (!cursor.answerDueAt) {
        cursor.answerDueAt = cursor.calledAt + wait;
    }
}

void FleetFollower::setReadToEnd(Cursor &cursor, TimePoint now)
{
    cursor.readAt = now;
    cursor.currentAt = cursor.calledAt;
    cursor.answerDueAt.reset();
}

void FleetFollower::listTopic(Topic topic)
{
    Cursor &cursor = m_cursors[topic];
    cursor.listing = true;
    expectAnswer(cursor, Duration::zero());
    m_store.readNewest(topic, cursor.afterKey,
                       [this, topic](StoreOutcome<RecordPage> outcome, TimePoint now) {
                           m_cursors[topic].callInFlight = false;
                           onListingPage(topic, std::move(outcome), now);
                       });
}

void FleetFollower::readNewRecords(Topic topic)
{
    Cursor &cursor = m_cursors[topic];
    // A probe of a lost store doesn't wait for records, so that its timeout is short.
    const bool longPoll = topic == Topic::Operator && !cursor.lost;
    const Duration wait = longPoll ? m_timing.operatorWait : Duration::zero();
    expectAnswer(cursor, wait);
    m_store.read(topic, cursor.next, wait,
                 [this, topic](StoreOutcome<RecordPage> outcome, TimePoint now) {
                     m_cursors[topic].callInFlight = false;
                     onNewRecords(topic, std::move(outcome), now);
                 });
}

void FleetFollower::onListingPage(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now)
{
    if (!checkOutcome(topic, outcome, now) || !admitEra(topic, outcome.era, now)) {
        return;
    }
    Cursor &cursor = m_cursors[topic];
    RecordPage &page = *outcome.value;
    cursor.era = m_era;
    if (cursor.afterKey.empty()) {
        cursor.partialListing = RecordPage();
        cursor.partialListing.end = page.end;
        cursor.partialListing.era = m_era;
    }
    std::move(page.records.begin(), page.records.end(),
              std::back_inserter(cursor.partialListing.records));
    if (page.hasMore && !page.lastKey.empty()) {
        cursor.afterKey = page.lastKey;
        schedule(topic, Duration::zero());
        return;
    }
    cursor.afterKey.clear();
    const RecordPage listing = std::move(cursor.partialListing);
    cursor.partialListing = RecordPage();
    if (!applyListing(topic, listing, now)) {
        // The listing ends before records that were already read: the store serves stale reads.
        schedule(topic, m_timing.retryDelayLimit);
        return;
    }
    setReadToEnd(cursor, now);
    m_observer.onPageRead(topic, listing, true, now);
    finishConfirmation(topic, now);
    schedule(topic, pollInterval(topic));
}

bool FleetFollower::applyListing(Topic topic, const RecordPage &listing, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (cursor.listed && listing.end < cursor.next) {
        return false;
    }
    cursor.end = listing.end;
    m_mirror.replace(topic, listing);
    ListedNames listed;
    for (const RawRecord &raw : listing.records) {
        const StoredRecord stored = decode(topic, raw);
        listed.add(stored.record);
        // A record below the read position was applied already, or is older than one that was.
        if (!cursor.listed
            || (raw.offset >= cursor.next && !mayBeOlder(topic, stored.record, now))) {
            applyRecord(topic, stored, now);
        }
    }
    if (cursor.listed && !settling(now)) {
        retainListed(topic, listed, now);
    }
    cursor.listed = true;
    cursor.listing = false;
    cursor.next = listing.end;
    return true;
}

void FleetFollower::ListedNames::add(const FleetRecord &record)
{
    if (const auto *reported = std::get_if<BackendReported>(&record)) {
        backends.insert(reported->report.id);
    } else if (const auto *evacuation = std::get_if<EvacuationChanged>(&record)) {
        evacuations.insert(evacuation->dataCentre);
    } else if (const auto *rollout = std::get_if<RolloutOrdered>(&record)) {
        rollouts.insert(rollout->service);
    }
}

void FleetFollower::retainListed(Topic topic, const ListedNames &listed, TimePoint now)
{
    if (topic == Topic::Operator) {
        m_view.retainOrders(listed.evacuations, listed.rollouts);
    } else if (topic == Topic::Backends) {
        for (const InstanceId &id : m_view.retainBackends(listed.backends, now)) {
            m_observer.onBackendRemoved(id, "missing from the listing", now);
        }
    }
}

void FleetFollower::onNewRecords(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (!outcome.ok() && outcome.fault == StoreFault::Truncated) {
        // The records were deleted, or the store came back older and never had them.
        if (admitEra(topic, outcome.era, now)) {
            cursor.listing = true;
            schedule(topic, Duration::zero());
        }
        return;
    }
    if (!checkOutcome(topic, outcome, now) || !admitEra(topic, outcome.era, now)) {
        return;
    }
    RecordPage &page = *outcome.value;
    page.era = m_era;
    applyRecords(topic, page, now);
    // A page that is not full but ends early is all that a store with stale reads has.
    const bool moreToRead = cursor.next < page.end && page.full();
    if (!moreToRead) {
        setReadToEnd(cursor, now);
    }
    if (!page.records.empty()) {
        m_observer.onPageRead(topic, page, false, now);
    }
    // A listing has only the newest configuration, while further pages have all that it supersedes.
    cursor.listing = cursor.listing || (moreToRead && topic == Topic::Operator);
    if (!moreToRead) {
        finishConfirmation(topic, now);
    }
    schedule(topic, moreToRead ? Duration::zero() : pollInterval(topic));
}

void FleetFollower::applyFeedPage(Topic topic, const RecordPage &page, bool listing, TimePoint now)
{
    const StoreEra era = page.era == UnknownEra ? m_era : page.era;
    if (era > m_era && !listing) {
        return; // The listing of the new era is on its way.
    }
    if (era > m_era && m_cursors[topic].listed) {
        enterEra(era, now);
    }
    if (era < m_era) {
        return; // The sender has not read the new era yet.
    }
    m_era = era;
    Cursor &cursor = m_cursors[topic];
    const Offset before = cursor.next;
    bool gap = false;
    if (listing) {
        cursor.era = m_era;
        applyListing(topic, page, now);
    } else {
        gap = !applyRecords(topic, page, now);
    }
    if (m_followingFeed && gap) {
        relist(topic);
    }
    if (!m_followingFeed && cursor.next > before) {
        // The followers of this daemon get the news, too: its own reads begin after them.
        m_observer.onPageRead(topic, page, listing, now);
    }
}

bool FleetFollower::applyRecords(Topic topic, const RecordPage &page, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (!page.records.empty() && page.records.front().offset > cursor.next) {
        return false; // Records in between are missing.
    }
    cursor.end = page.end;
    m_mirror.apply(topic, page);
    for (const RawRecord &raw : page.records) {
        if (raw.offset >= cursor.next) {
            applyRecord(topic, decode(topic, raw), now);
            cursor.next = raw.offset.next();
        }
    }
    return true;
}

StoredRecord FleetFollower::decode(Topic topic, const RawRecord &raw)
{
    const auto table = m_view.table();
    return {raw.offset,
            m_decoder.decode(topic, raw, table ? std::optional(table->version()) : std::nullopt)};
}

void FleetFollower::applyRecord(Topic topic, const StoredRecord &stored, TimePoint now)
{
    m_observer.onRecord(m_view.apply(stored, now), stored, now);
    if (std::holds_alternative<RolloutOrdered>(stored.record) && !m_followingFeed) {
        // The daemons exchange the progress of the rollout in Topic::Own from now on.
        pollNow(Topic::Own);
        if (!m_cursors[Topic::Status].listed) {
            pollNow(Topic::Status);
        }
    }
}

bool FleetFollower::checkOutcome(Topic topic, const StoreOutcome<RecordPage> &outcome,
                                 TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (outcome.ok()) {
        cursor.retryDelay = m_timing.retryDelay;
        if (cursor.lost) {
            cursor.lost = false;
            onTopicRegained(topic, now - cursor.lostAt, now);
            retryLostTopics();
        }
        return true;
    }
    // A call that was in flight when this daemon switched to a feed says nothing about the time
    // since.
    if (!cursor.lost && !m_followingFeed) {
        cursor.lost = true;
        cursor.lostAt = now;
        m_observer.onStoreLost(topic, outcome.fault, outcome.detail, now);
    }
    schedule(topic,
             isProbeTopic(topic) ? cursor.retryDelay
                                 : std::max(cursor.retryDelay, NonProbeRetryDelay));
    cursor.retryDelay = std::min(cursor.retryDelay * 2,
                                 m_backupReader ? BackupRetryDelayLimit : m_timing.retryDelayLimit);
    return false;
}

bool FleetFollower::isProbeTopic(Topic topic) const
{
    const auto firstLost = std::find_if(m_cursors.begin(), m_cursors.end(),
                                        [](const auto &entry) { return entry.second.lost; });
    return firstLost == m_cursors.end() || firstLost->first == topic;
}

void FleetFollower::retryLostTopics()
{
    for (const auto &[topic, cursor] : m_cursors) {
        if (cursor.lost) {
            pollNow(topic);
        }
    }
}

void FleetFollower::clearLostTopics(TimePoint now)
{
    for (auto &[topic, cursor] : m_cursors) {
        if (cursor.lost) {
            cursor.lost = false;
            cursor.retryDelay = m_timing.retryDelay;
            onTopicRegained(topic, now - cursor.lostAt, now);
        }
    }
}

void FleetFollower::onTopicRegained(Topic topic, Duration lostFor, TimePoint now)
{
    m_observer.onStoreRegained(topic, lostFor, now);
    // Only backend entries lapse, and only if the outage was long enough for them to expire while
    // the servers could not report.
    if (topic != Topic::Backends || lostFor < MinOutageForLapse) {
        return;
    }
    m_view.startLapseGrace(now);
    m_loop.cancel(m_lapseTimer);
    m_lapseTimer = m_loop.at(now + FleetView::LapseGrace, [this](TimePoint present) {
        m_lapseTimer = TimerId();
        for (const InstanceId &id : m_view.removeLapsed(present)) {
            m_observer.onBackendRemoved(id, "lapsed", present);
        }
    });
}

void FleetFollower::schedule(Topic topic, Duration delay)
{
    Cursor &cursor = m_cursors[topic];
    m_loop.cancel(cursor.timer);
    cursor.timer = m_loop.at(m_loop.now() + delay, [this, topic](TimePoint) {
        m_cursors[topic].timer = TimerId();
        pollTopic(topic);
    });
}

Duration FleetFollower::pollInterval(Topic topic) const
{
    if (m_cursors.at(topic).onConfirmed) {
        return Duration::zero();
    }
    switch (topic) {
    case Topic::Operator:
        return Duration::zero();
    case Topic::Backends:
        return m_timing.backendsPeriod;
    case Topic::Status:
    case Topic::Own:
        break;
    }
    return rolloutUnderWay(m_view) ? m_timing.rolloutPeriod : m_timing.ownPeriod;
}

bool rolloutUnderWay(const FleetView &view)
{
    return std::any_of(view.rollouts().begin(), view.rollouts().end(), [&](const auto &entry) {
        const auto state = view.rolloutStates().find(entry.first);
        return state == view.rolloutStates().end() || state->second.target != entry.second.target
            || state->second.state == RolloutState::Running;
    });
}

} // namespace lycheearch
