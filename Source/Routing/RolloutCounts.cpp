#include "Routing/RolloutCounts.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

namespace {

/// Shorter latencies count as this one, so that the logarithm stays finite.
constexpr Duration ShortestLatency = 1ms;
/// Events of a stream in flight from which on its gaps count.
constexpr int MinEventsInFlight = 3;

void addLatency(VersionCounts &counts, Duration latency)
{
    const Duration measured = std::max(latency, Duration(ShortestLatency));
    const double logSeconds = std::log(std::chrono::duration<double>(measured).count());
    ++counts.latencySamples;
    counts.logLatencySum += logSeconds;
    counts.logLatencySquares += logSeconds * logSeconds;
}

} // namespace

RolloutCounts::Ticket RolloutCounts::onSent(const ServiceId &service, const VersionId &version,
                                            TimePoint now)
{
    VersionCounts &counts = m_counts[service][version];
    ++counts.inFlight;
    ++counts.sent;
    m_inFlight.emplace(m_nextTicket, InFlight{service, version, now, false});
    return m_nextTicket++;
}

void RolloutCounts::onAnswerBegun(Ticket ticket, TimePoint now)
{
    const auto found = m_inFlight.find(ticket);
    if (found == m_inFlight.end() || found->second.begun) {
        return;
    }
    InFlight &request = found->second;
    request.begun = true;
    m_counts[request.service][request.version].answerDelays.addObserved(now - request.sentAt);
}

void RolloutCounts::onEvents(Ticket ticket, int events, TimePoint now)
{
    const auto found = m_inFlight.find(ticket);
    if (found == m_inFlight.end()) {
        return;
    }
    if (found->second.events == 0) {
        found->second.firstEventAt = now;
    }
    found->second.events += events;
}

void RolloutCounts::onEnded(Ticket ticket, std::optional<bool> good,
                            std::optional<Duration> latency, TimePoint now)
{
    const auto found = m_inFlight.find(ticket);
    if (found == m_inFlight.end()) {
        return;
    }
    const InFlight request = found->second;
    m_inFlight.erase(found);
    VersionCounts &counts = m_counts[request.service][request.version];
    --counts.inFlight;
    if (!request.begun) {
        counts.answerDelays.addWaiting(now - request.sentAt);
    }
    if (!good) {
        return;
    }
    ++(*good ? counts.good : counts.bad);
    if (*good && latency) {
        addLatency(counts, *latency);
    }
}

void RolloutCounts::followOrders(const FleetView &view, TimePoint now)
{
    std::erase_if(m_orders,
                  [&](const auto &entry) { return !view.rollouts().contains(entry.first); });
    for (const auto &[service, order] : view.rollouts()) {
        if (!follows(order)) {
            m_orders[service] = {order.target, now};
            restart(service);
        }
    }
}

bool RolloutCounts::follows(const RolloutOrdered &order) const
{
    const auto found = m_orders.find(order.service);
    return found != m_orders.end() && found->second.target == order.target;
}

void RolloutCounts::restart(const ServiceId &service)
{
    std::map<VersionId, VersionCounts> &counts = m_counts[service];
    counts.clear();
    for (const auto &[ticket, request] : m_inFlight) {
        if (request.service == service) {
            ++counts[request.version].inFlight;
        }
    }
}

std::vector<RolloutEvidence> RolloutCounts::evidence(const InstanceId &self, const FleetView &view,
                                                     TimePoint now) const
{
    std::vector<RolloutEvidence> all;
    for (const auto &[service, order] : view.rollouts()) {
        if (!follows(order)) {
            continue;
        }
        RolloutEvidence evidence;
        evidence.daemon = self;
        evidence.service = service;
        evidence.target = order.target;
        const auto stage = view.stages().find(service);
        evidence.stage = stage == view.stages().end() ? 0 : stage->second.stage;
        const TimePoint followedSince = m_orders.at(service).followedSince;
        const TimePoint orderedAt = view.orderedAt(service, order.target).value_or(followedSince);
        evidence.countedAfter = std::max(Duration::zero(), followedSince - orderedAt);
        if (const auto versions = m_counts.find(service); versions != m_counts.end()) {
            for (const auto &[version, counts] : versions->second) {
                VersionCounts &side =
                    version == order.target ? evidence.targetCounts : evidence.otherCounts;
                side = side + counts;
            }
        }
        for (const auto &[ticket, request] : m_inFlight) {
            if (request.service == service) {
                VersionCounts &side =
                    request.version == order.target ? evidence.targetCounts : evidence.otherCounts;
                addInFlight(side, request, now);
            }
        }
        all.push_back(std::move(evidence));
    }
    return all;
}

void RolloutCounts::addInFlight(VersionCounts &counts, const InFlight &request, TimePoint now)
{
    if (!request.begun) {
        counts.answerDelays.addWaiting(now - request.sentAt);
    } else if (request.events >= MinEventsInFlight) {
        // The present gap counts as if it ended now.
        addLatency(counts, (now - request.firstEventAt) / request.events);
    }
}

VersionCounts operator+(const VersionCounts &left, const VersionCounts &right)
{
    DelayHistogram answerDelays = left.answerDelays;
    answerDelays += right.answerDelays;
    return {left.good + right.good,
            left.bad + right.bad,
            left.latencySamples + right.latencySamples,
            left.logLatencySum + right.logLatencySum,
            left.logLatencySquares + right.logLatencySquares,
            left.inFlight + right.inFlight,
            left.sent + right.sent,
            answerDelays};
}

} // namespace lycheearch
