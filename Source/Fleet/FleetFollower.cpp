#include "Fleet/FleetFollower.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Upper limit of the retry delay while another daemon reads the store in preference to this one.
constexpr Duration PatientRetryLimit = 4s;

/// Least retry delay of a lost topic while another lost topic probes the store.
constexpr Duration NoProbeDelay = 4s;

/// No backend entry lapses during a shorter outage, so the grace period is not started.
constexpr Duration ShortestLapsingOutage = 1500ms;

constexpr Topic AllTopics[] = {Topic::Operator, Topic::Backends, Topic::Status, Topic::Own};

} // namespace

FleetFollower::FleetFollower(EventLoop &loop, FleetStore &store, const RecordCodec &codec,
                             FleetView &view, FleetObserver &observer, FollowerTiming timing)
    : m_loop(loop)
    , m_store(store)
    , m_codec(codec)
    , m_view(view)
    , m_observer(observer)
    , m_timing(timing)
{
}

FleetFollower::~FleetFollower()
{
    m_loop.cancel(m_lapseTimer);
    for (auto &[topic, cursor] : m_cursors) {
        m_loop.cancel(cursor.timer);
    }
}

void FleetFollower::start()
{
    for (const Topic topic : AllTopics) {
        m_cursors[topic].retryDelay = m_timing.retryDelay;
        step(topic);
    }
}

void FleetFollower::setFed(bool fed)
{
    if (m_fed == fed) {
        return;
    }
    m_fed = fed;
    if (fed) {
        clearLosses(m_loop.now());
    } else {
        for (const Topic topic : AllTopics) {
            hurry(topic);
        }
    }
}

void FleetFollower::hurry(Topic topic)
{
    if (!m_cursors[topic].calling) {
        schedule(topic, Duration::zero());
    }
}

void FleetFollower::relist(Topic topic)
{
    m_cursors[topic].listing = true;
    hurry(topic);
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

std::optional<Duration> FleetFollower::storeAge(TimePoint now) const
{
    if (m_fed || !synced()) {
        return std::nullopt;
    }
    const Duration backends = now - m_cursors.at(Topic::Backends).readAt - m_timing.backendsPeriod;
    const Duration operators = now - m_cursors.at(Topic::Operator).readAt - m_timing.operatorWait;
    return std::max({backends, operators, Duration::zero()});
}

Offset FleetFollower::endOf(Topic topic) const
{
    const auto found = m_cursors.find(topic);
    return found == m_cursors.end() ? Offset() : found->second.next;
}

bool FleetFollower::isNeeded(Topic topic) const
{
    // Rollout states are needed only once a rollout is ordered.
    return topic != Topic::Status || !m_view.rollouts().empty();
}

void FleetFollower::step(Topic topic)
{
    Cursor &cursor = m_cursors[topic];
    if (cursor.calling || (m_fed && cursor.listed && !cursor.listing) || !isNeeded(topic)) {
        return;
    }
    if (!cursor.listed || cursor.listing) {
        list(topic);
    } else if (topic != Topic::Status) {
        // The status topic is only listed: the daemons write it themselves and exchange rollout
        // progress in Topic::Own.
        tail(topic);
    }
}

void FleetFollower::list(Topic topic)
{
    Cursor &cursor = m_cursors[topic];
    cursor.listing = true;
    cursor.calling = true;
    m_store.newest(topic, cursor.afterKey,
                   [this, topic](StoreOutcome<RecordPage> outcome, TimePoint now) {
                       m_cursors[topic].calling = false;
                       onListed(topic, std::move(outcome), now);
                   });
}

void FleetFollower::tail(Topic topic)
{
    const Duration wait = topic == Topic::Operator ? m_timing.operatorWait : Duration::zero();
    m_cursors[topic].calling = true;
    m_store.read(topic, m_cursors[topic].next, wait,
                 [this, topic](StoreOutcome<RecordPage> outcome, TimePoint now) {
                     m_cursors[topic].calling = false;
                     onTail(topic, std::move(outcome), now);
                 });
}

void FleetFollower::onListed(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now)
{
    if (!succeeded(topic, outcome, now)) {
        return;
    }
    Cursor &cursor = m_cursors[topic];
    RecordPage &page = *outcome.value;
    if (cursor.afterKey.empty()) {
        cursor.pages = RecordPage();
        cursor.pages.end = page.end;
    }
    std::move(page.records.begin(), page.records.end(), std::back_inserter(cursor.pages.records));
    if (page.hasMore && !page.lastKey.empty()) {
        cursor.afterKey = page.lastKey;
        schedule(topic, Duration::zero());
        return;
    }
    cursor.afterKey.clear();
    const RecordPage listing = std::move(cursor.pages);
    cursor.pages = RecordPage();
    if (!applyListing(topic, listing, now)) {
        // The listing ends before records that were already read: the store serves stale reads.
        schedule(topic, m_timing.retryDelayLimit);
        return;
    }
    cursor.readAt = now;
    m_observer.onPageRead(topic, listing, true, now);
    schedule(topic, pause(topic));
}

bool FleetFollower::applyListing(Topic topic, const RecordPage &listing, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (cursor.listed && listing.end < cursor.next) {
        return false;
    }
    m_mirror.replace(topic, listing);
    for (const RawRecord &raw : listing.records) {
        // A record below the read position was applied already, or is older than one that was.
        if (!cursor.listed || raw.offset >= cursor.next) {
            applyOne(topic, raw, now);
        }
    }
    if (cursor.listed) {
        retainListed(topic, listing, now);
    }
    cursor.listed = true;
    cursor.listing = false;
    cursor.next = listing.end;
    return true;
}

void FleetFollower::retainListed(Topic topic, const RecordPage &listing, TimePoint now)
{
    std::set<InstanceId> backends;
    std::set<DataCentreId> evacuations;
    std::set<ServiceId> rollouts;
    for (const RawRecord &raw : listing.records) {
        const FleetRecord record = m_codec.decode(topic, raw);
        if (const auto *reported = std::get_if<BackendReported>(&record)) {
            backends.insert(reported->report.id);
        } else if (const auto *evacuation = std::get_if<EvacuationChanged>(&record)) {
            evacuations.insert(evacuation->dataCentre);
        } else if (const auto *rollout = std::get_if<RolloutOrdered>(&record)) {
            rollouts.insert(rollout->service);
        }
    }
    if (topic == Topic::Operator) {
        m_view.retainOrders(evacuations, rollouts);
    } else if (topic == Topic::Backends) {
        for (const InstanceId &id : m_view.retain(backends, now)) {
            m_observer.onBackendDropped(id, "missing from the listing", now);
        }
    }
}

void FleetFollower::onTail(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (!outcome.ok() && outcome.fault == StoreFault::Truncated) {
        cursor.listing = true;
        schedule(topic, Duration::zero());
        return;
    }
    if (!succeeded(topic, outcome, now)) {
        return;
    }
    cursor.readAt = now;
    applyRecords(topic, *outcome.value, now);
    if (!outcome.value->records.empty()) {
        m_observer.onPageRead(topic, *outcome.value, false, now);
    }
    schedule(topic, pause(topic));
}

void FleetFollower::applyFed(Topic topic, const RecordPage &page, bool listing, TimePoint now)
{
    if (listing) {
        applyListing(topic, page, now);
    } else {
        applyRecords(topic, page, now);
    }
}

void FleetFollower::applyRecords(Topic topic, const RecordPage &page, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (!page.records.empty() && page.records.front().offset > cursor.next) {
        return; // Records in between are missing; the next read from the store returns them.
    }
    m_mirror.apply(topic, page);
    for (const RawRecord &raw : page.records) {
        if (raw.offset >= cursor.next) {
            applyOne(topic, raw, now);
            cursor.next = raw.offset.next();
        }
    }
}

void FleetFollower::applyOne(Topic topic, const RawRecord &raw, TimePoint now)
{
    const StoredRecord stored{raw.offset, m_codec.decode(topic, raw)};
    m_observer.onRecord(m_view.apply(stored, now), stored, now);
    if (std::holds_alternative<RolloutOrdered>(stored.record) && !m_fed) {
        // The daemons exchange the progress of the rollout in Topic::Own from now on.
        hurry(Topic::Own);
        if (!m_cursors[Topic::Status].listed) {
            hurry(Topic::Status);
        }
    }
}

bool FleetFollower::succeeded(Topic topic, const StoreOutcome<RecordPage> &outcome, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (outcome.ok()) {
        cursor.retryDelay = m_timing.retryDelay;
        if (cursor.lost) {
            cursor.lost = false;
            regained(topic, now - cursor.lostAt, now);
            hurryLost();
        }
        return true;
    }
    if (!cursor.lost) {
        cursor.lost = true;
        cursor.lostAt = now;
        m_observer.onStoreLost(topic, outcome.fault, outcome.detail, now);
    }
    schedule(topic, isProbe(topic) ? cursor.retryDelay : std::max(cursor.retryDelay, NoProbeDelay));
    cursor.retryDelay =
        std::min(cursor.retryDelay * 2, m_patient ? PatientRetryLimit : m_timing.retryDelayLimit);
    return false;
}

bool FleetFollower::isProbe(Topic topic) const
{
    const auto firstLost = std::find_if(m_cursors.begin(), m_cursors.end(),
                                        [](const auto &entry) { return entry.second.lost; });
    return firstLost == m_cursors.end() || firstLost->first == topic;
}

void FleetFollower::hurryLost()
{
    for (const auto &[topic, cursor] : m_cursors) {
        if (cursor.lost) {
            hurry(topic);
        }
    }
}

void FleetFollower::clearLosses(TimePoint now)
{
    for (auto &[topic, cursor] : m_cursors) {
        if (cursor.lost) {
            cursor.lost = false;
            cursor.retryDelay = m_timing.retryDelay;
            regained(topic, now - cursor.lostAt, now);
        }
    }
}

void FleetFollower::regained(Topic topic, Duration lostFor, TimePoint now)
{
    m_observer.onStoreRegained(topic, lostFor, now);
    // Only backend entries lapse, and only after an outage during which the servers could not
    // report.
    if (topic != Topic::Backends || lostFor < ShortestLapsingOutage) {
        return;
    }
    m_view.contactRegained(now);
    m_loop.cancel(m_lapseTimer);
    m_lapseTimer = m_loop.at(now + FleetView::LapseGrace, [this](TimePoint present) {
        m_lapseTimer = TimerId();
        for (const InstanceId &id : m_view.dropLapsed(present)) {
            m_observer.onBackendDropped(id, "lapsed", present);
        }
    });
}

void FleetFollower::schedule(Topic topic, Duration delay)
{
    Cursor &cursor = m_cursors[topic];
    m_loop.cancel(cursor.timer);
    cursor.timer = m_loop.at(m_loop.now() + delay, [this, topic](TimePoint) {
        m_cursors[topic].timer = TimerId();
        step(topic);
    });
}

Duration FleetFollower::pause(Topic topic) const
{
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
        const auto stage = view.stages().find(entry.first);
        return stage == view.stages().end() || stage->second.target != entry.second.target
            || (!stage->second.condemned && !stage->second.complete);
    });
}

} // namespace lycheearch
