#include "Fleet/FleetView.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Number of removed backend servers whose last report is stored to detect late reports.
constexpr std::size_t MaxRemovedBackends = 2000;
/// Order ages reported by other daemons are capped to this.
constexpr Duration MaxOrderAge = 600s;

/// Combines one handler for each record type for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ViewChange FleetView::apply(const StoredRecord &stored, TimePoint now)
{
    const auto handler = Overloaded{
        [&](const ConfigPublished &record) { return applyConfig(record, now); },
        [&](const ConfigOutdated &) { return ViewChange::Stale; },
        [&](const BackendReported &record) { return applyReport(record.report, now); },
        [&](const BackendRemoved &record) { return applyRemoval(record.id, now); },
        [&](const EvacuationChanged &record) { return applyEvacuation(record); },
        [&](const RolloutOrdered &record) {
            RolloutOrdered &current = m_rollouts[record.service];
            const bool changed = current != record;
            current = record;
            if (!orderedAt(record.service, record.target)) {
                m_orderedAt[record.service] = {record.target, now};
            }
            return changed ? ViewChange::Rollout : ViewChange::None;
        },
        [&](const RolloutWithdrawn &record) {
            m_orderedAt.erase(record.service);
            return m_rollouts.erase(record.service) > 0 ? ViewChange::Rollout : ViewChange::None;
        },
        [&](const RolloutReported &record) { return applyRolloutState(record); },
        [&](const RolloutStage &record) { return applyStage(record); },
        [&](const EvidenceCollected &record) {
            for (const RolloutOrderAge &order : record.orderAges) {
                applyOrderAge(order, now);
            }
            m_evidence[record.collector] = record;
            return ViewChange::None;
        },
        [&](const MemberRegistered &record) {
            const bool isNew = !m_members.contains(record.instance);
            m_members[record.instance] = record;
            return isNew ? ViewChange::Member : ViewChange::None;
        },
        [&](const PromptPartCondemned &) { return ViewChange::PromptPart; },
        [&](const UnreadableRecord &) { return ViewChange::Unreadable; },
    };
    return std::visit(handler, stored.record);
}

ViewChange FleetView::applyConfig(const ConfigPublished &record, TimePoint now)
{
    if (m_table && record.config->version <= m_table->version()) {
        return ViewChange::Stale;
    }
    m_table = std::make_shared<RoutingTable>(record.config);
    m_configReadAt = now;
    return ViewChange::Config;
}

bool FleetView::isStale(const BackendEntry &report) const
{
    const auto older = [&](std::int64_t startedAt, std::int64_t sequence) {
        return report.startedAt < startedAt
            || (report.startedAt == startedAt && report.sequence < sequence);
    };
    if (const auto current = m_backends.find(report.id); current != m_backends.end()) {
        return older(current->second.report.startedAt, current->second.report.sequence);
    }
    const auto removed = m_removed.find(report.id);
    return removed != m_removed.end()
        && older(removed->second.startedAt, removed->second.sequence + 1);
}

ViewChange FleetView::applyReport(const BackendEntry &report, TimePoint now)
{
    if (isStale(report)) {
        return ViewChange::Stale;
    }
    m_removed.erase(report.id);
    BackendState &state = m_backends[report.id];
    const bool restarted = state.report.startedAt != report.startedAt;
    const bool drained = state.draining && !restarted;
    const bool changed = restarted || state.draining != report.draining || state.lapsed
        || state.report.address != report.address || state.report.version != report.version;
    state.report = report;
    state.lastReportAt = now;
    state.draining = report.draining || drained;
    state.lapsed = false;
    if (report.coldFor > Duration::zero()) {
        state.coldUntil = now + report.coldFor;
    }
    if (!changed) {
        return ViewChange::None;
    }
    return ViewChange::Backend;
}

ViewChange FleetView::applyRemoval(const InstanceId &id, TimePoint now)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end()) {
        return ViewChange::None;
    }
    if (now < m_lapseGraceUntil) {
        found->second.lapsed = true;
        return ViewChange::None;
    }
    removeBackend(id);
    return ViewChange::BackendRemoval;
}

void FleetView::applyOrderAge(const RolloutOrderAge &order, TimePoint now)
{
    const auto found = m_orderedAt.find(order.service);
    if (found != m_orderedAt.end() && found->second.target == order.target) {
        const TimePoint at = now - std::min(order.age, MaxOrderAge);
        found->second.at = std::min(found->second.at, at);
    }
}

std::optional<TimePoint> FleetView::orderedAt(const ServiceId &service,
                                              const VersionId &target) const
{
    const auto found = m_orderedAt.find(service);
    return found == m_orderedAt.end() || found->second.target != target
        ? std::nullopt
        : std::optional(found->second.at);
}

ViewChange FleetView::applyStage(const RolloutStage &record)
{
    RolloutStage &current = m_stages[record.service];
    if (current.target == record.target) {
        // A record that arrives late must not revert a decision.
        RolloutStage merged = record;
        merged.stage = std::max(current.stage, record.stage);
        merged.condemned = current.condemned || record.condemned;
        merged.complete = current.complete || record.complete;
        if (merged == current) {
            return ViewChange::None;
        }
        current = merged;
    } else {
        current = record;
    }
    return ViewChange::Rollout;
}

ViewChange FleetView::applyRolloutState(const RolloutReported &record)
{
    RolloutReported &current = m_rolloutStates[record.service];
    const bool final = current.target == record.target && current.state != RolloutState::Running;
    if (current == record || final) {
        return ViewChange::None;
    }
    current = record;
    return ViewChange::Rollout;
}

ViewChange FleetView::applyEvacuation(const EvacuationChanged &record)
{
    const bool changed = record.evacuated ? m_evacuated.insert(record.dataCentre).second
                                          : m_evacuated.erase(record.dataCentre) > 0;
    if (!changed) {
        return ViewChange::None;
    }
    return ViewChange::Evacuation;
}

std::vector<InstanceId> FleetView::retainBackends(const std::set<InstanceId> &listed, TimePoint now)
{
    std::vector<InstanceId> missing;
    for (const auto &[id, state] : m_backends) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    std::erase_if(missing, [&](const InstanceId &id) {
        return applyRemoval(id, now) != ViewChange::BackendRemoval;
    });
    return missing;
}

void FleetView::retainOrders(const std::set<DataCentreId> &evacuations,
                             const std::set<ServiceId> &rollouts)
{
    std::erase_if(m_evacuated, [&](const DataCentreId &dataCentre) {
        return !evacuations.contains(dataCentre);
    });
    std::erase_if(m_rollouts, [&](const auto &entry) { return !rollouts.contains(entry.first); });
}

std::vector<InstanceId> FleetView::removeLapsed(TimePoint now)
{
    std::vector<InstanceId> dropped;
    if (now < m_lapseGraceUntil) {
        return dropped;
    }
    for (const auto &[id, state] : m_backends) {
        if (state.lapsed) {
            dropped.push_back(id);
        }
    }
    for (const InstanceId &id : dropped) {
        removeBackend(id);
    }
    return dropped;
}

void FleetView::removeBackend(const InstanceId &id)
{
    const auto found = m_backends.find(id);
    if (m_removed.size() >= MaxRemovedBackends) {
        m_removed.erase(m_removed.begin());
    }
    m_removed[id] = {found->second.report.startedAt, found->second.report.sequence};
    m_backends.erase(found);
}

const BackendState *FleetView::backend(const InstanceId &id) const
{
    const auto found = m_backends.find(id);
    return found == m_backends.end() ? nullptr : &found->second;
}

bool FleetView::evacuated(const DataCentreId &dataCentre) const
{
    return m_evacuated.contains(dataCentre);
}

} // namespace lycheearch
