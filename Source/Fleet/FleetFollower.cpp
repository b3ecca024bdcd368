#include "Fleet/FleetFollower.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Topics that every daemon follows from its start.
constexpr Topic FollowedTopics[] = {Topic::Operator, Topic::Backends, Topic::Status,
                                    Topic::Evidence};

} // namespace

FleetFollower::FleetFollower(EventLoop &loop, FleetStore &store, FleetView &view,
                             FleetObserver &observer, FollowerTiming timing)
    : m_loop(loop)
    , m_store(store)
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
    for (const Topic topic : FollowedTopics) {
        m_cursors[topic].retryDelay = m_timing.retryDelay;
        step(topic);
    }
}

bool FleetFollower::synced() const
{
    const auto listed = [&](Topic topic) {
        const auto found = m_cursors.find(topic);
        return found != m_cursors.end() && found->second.listed;
    };
    return m_view.table() && listed(Topic::Operator) && listed(Topic::Backends);
}

bool FleetFollower::inContact() const
{
    return std::none_of(m_cursors.begin(), m_cursors.end(),
                        [](const auto &entry) { return entry.second.lost; });
}

TimePoint FleetFollower::backendsReadAt() const
{
    const auto found = m_cursors.find(Topic::Backends);
    return found == m_cursors.end() ? TimePoint() : found->second.readAt;
}

void FleetFollower::step(Topic topic)
{
    const Cursor &cursor = m_cursors[topic];
    const bool needed = topic == Topic::Operator || topic == Topic::Backends || rolloutRunning();
    if (cursor.listed && !cursor.listing && !needed) {
        schedule(topic, m_timing.rolloutPeriod);
    } else if (cursor.listed && !cursor.listing) {
        tail(topic);
    } else {
        list(topic);
    }
}

void FleetFollower::list(Topic topic)
{
    Cursor &cursor = m_cursors[topic];
    cursor.listing = true;
    m_store.newest(topic, cursor.afterKey,
                   [this, topic](StoreOutcome<RecordPage> outcome, TimePoint now) {
                       onListed(topic, std::move(outcome), now);
                   });
}

void FleetFollower::tail(Topic topic)
{
    const Duration wait = topic == Topic::Operator ? m_timing.operatorWait : Duration::zero();
    m_store.read(topic, m_cursors[topic].next, wait,
                 [this, topic](StoreOutcome<RecordPage> outcome, TimePoint now) {
                     onTail(topic, std::move(outcome), now);
                 });
}

void FleetFollower::onListed(Topic topic, StoreOutcome<RecordPage> outcome, TimePoint now)
{
    if (!succeeded(topic, outcome, now)) {
        return;
    }
    Cursor &cursor = m_cursors[topic];
    const RecordPage &page = *outcome.value;
    if (cursor.afterKey.empty()) {
        cursor.listEnd = page.end;
        cursor.backends.clear();
        cursor.evacuations.clear();
        cursor.rollouts.clear();
    }
    for (const StoredRecord &stored : page.records) {
        noteListed(cursor, stored.record);
        // What was read before can only come back older.
        if (!cursor.listed || stored.offset >= cursor.next) {
            m_observer.onRecord(m_view.apply(stored, now), stored, now);
        }
    }
    if (page.hasMore && !page.lastKey.empty()) {
        cursor.afterKey = page.lastKey;
        schedule(topic, Duration::zero());
        return;
    }
    finishListing(topic, now);
}

void FleetFollower::noteListed(Cursor &cursor, const FleetRecord &record)
{
    if (const auto *reported = std::get_if<BackendReported>(&record)) {
        cursor.backends.insert(reported->report.id);
    } else if (const auto *evacuation = std::get_if<EvacuationChanged>(&record)) {
        cursor.evacuations.insert(evacuation->dataCentre);
    } else if (const auto *rollout = std::get_if<RolloutOrdered>(&record)) {
        cursor.rollouts.insert(rollout->service);
    }
}

void FleetFollower::finishListing(Topic topic, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    cursor.afterKey.clear();
    if (cursor.listed && cursor.listEnd < cursor.next) {
        // The listing is older than what was read: the store serves stale reads for now.
        schedule(topic, m_timing.retryDelayLimit);
        return;
    }
    if (cursor.listed && topic == Topic::Backends) {
        for (const InstanceId &id : m_view.retain(cursor.backends, now)) {
            m_observer.onBackendDropped(id, "not listed", now);
        }
    }
    if (cursor.listed && topic == Topic::Operator) {
        m_view.retainOrders(cursor.evacuations, cursor.rollouts);
    }
    cursor.listed = true;
    cursor.listing = false;
    cursor.next = cursor.listEnd;
    cursor.readAt = now;
    schedule(topic, pause(topic));
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
    applyPage(cursor, *outcome.value, now);
    schedule(topic, pause(topic));
}

void FleetFollower::applyPage(Cursor &cursor, const RecordPage &page, TimePoint now)
{
    for (const StoredRecord &stored : page.records) {
        if (stored.offset < cursor.next) {
            continue;
        }
        m_observer.onRecord(m_view.apply(stored, now), stored, now);
        cursor.next = stored.offset.next();
    }
}

bool FleetFollower::succeeded(Topic topic, const StoreOutcome<RecordPage> &outcome, TimePoint now)
{
    Cursor &cursor = m_cursors[topic];
    if (outcome.ok()) {
        cursor.retryDelay = m_timing.retryDelay;
        if (cursor.lost) {
            cursor.lost = false;
            m_view.contactRegained(now);
            m_loop.cancel(m_lapseTimer);
            m_lapseTimer = m_loop.at(now + FleetView::LapseGrace, [this](TimePoint present) {
                m_lapseTimer = TimerId();
                for (const InstanceId &id : m_view.dropLapsed(present)) {
                    m_observer.onBackendDropped(id, "lapsed", present);
                }
            });
            m_observer.onStoreRegained(topic, now - cursor.lostAt, now);
        }
        return true;
    }
    if (!cursor.lost) {
        cursor.lost = true;
        cursor.lostAt = now;
        m_observer.onStoreLost(topic, outcome.fault, outcome.detail, now);
    }
    schedule(topic, cursor.retryDelay);
    cursor.retryDelay = std::min(cursor.retryDelay * 2, m_timing.retryDelayLimit);
    return false;
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
    case Topic::Evidence:
        break;
    }
    return m_timing.rolloutPeriod;
}

bool FleetFollower::rolloutRunning() const
{
    for (const auto &[service, order] : m_view.rollouts()) {
        const auto state = m_view.rolloutStates().find(service);
        if (state == m_view.rolloutStates().end() || state->second.target != order.target
            || state->second.state == RolloutState::Running) {
            return true;
        }
    }
    return false;
}

} // namespace lycheearch
