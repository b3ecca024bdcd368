#include "Routing/LatencyTracker.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "Routing/DecayingRatio.h"

namespace lycheearch {

namespace {

namespace bh = boost::histogram;

constexpr unsigned Bins = 80; ///< Each is wider than the one before by a sixth.
constexpr double LowestSeconds = 0.001;
constexpr double HighestSeconds = 300;
constexpr Duration SampleLifetime = 60s; ///< After it, a sample has decayed to 1/e.
constexpr double MinSamples = 20; ///< For a quantile, weighted by age.
constexpr std::size_t MaxKinds = 4096;
constexpr double ForgottenSamples = 0.5; ///< Kinds with fewer are dropped when there are too many.
/// Prompt work up to which the latency hardly depends on it.
constexpr double SmallWorkTokens = 256;
constexpr Duration LateShareLifetime = 3s;
/// Requests in time that are assumed, so that the first late ones don't count as all.
constexpr double LateSharePriorWeight = 5;
/// The requests without an answer are counted at most this often: it takes a pass over all.
constexpr Duration OverdueCountLifetime = 100ms;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Latencies in logarithmic bins. Samples decay exponentially.
class DecayingLatencies
{
public:
    void add(double seconds, TimePoint now)
    {
        decay(now);
        m_bins(seconds);
        m_total += 1;
    }
    double samples(TimePoint now) const { return m_total * factor(now); }
    /// Upper bound of the bin that the quantile lies in, in seconds.
    double quantile(double share) const
    {
        double below = m_bins.at(-1);
        for (int i = 0; i < m_bins.axis().size(); ++i) {
            below += m_bins.at(i);
            if (below >= share * m_total) {
                return m_bins.axis().bin(i).upper();
            }
        }
        return HighestSeconds;
    }

private:
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;

    double factor(TimePoint now) const
    {
        return std::exp(-secondsOf(now - m_updatedAt) / secondsOf(SampleLifetime));
    }
    void decay(TimePoint now)
    {
        if (now - m_updatedAt >= 1s) {
            const double left = factor(now);
            m_bins *= left;
            m_total *= left;
            m_updatedAt = now;
        }
    }

    decltype(bh::make_histogram_with(std::vector<double>(), Axis())) m_bins =
        bh::make_histogram_with(std::vector<double>(), Axis(Bins, LowestSeconds, HighestSeconds));
    double m_total = 0;
    TimePoint m_updatedAt;
};

/// Work in units of SmallWorkTokens; 1 for a request that needs hardly any.
double scaleOf(double workTokens)
{
    return 1 + std::max(0.0, workTokens) / SmallWorkTokens;
}

int sizeClassOf(double workTokens)
{
    return static_cast<int>(std::log2(scaleOf(workTokens)));
}

} // namespace

struct LatencyTracker::State
{
    /// Route (empty for all routes), service, model and size class.
    using Key = std::tuple<std::string, ServiceId, std::string, int>;

    struct InFlight
    {
        LatencyKind kind;
        Duration lateAfter{};
        TimePoint sentAt;
    };

    struct Lateness
    {
        DecayingRatio ended{0, LateSharePriorWeight, LateShareLifetime};
        int overdue = 0; ///< Late ones without an answer, when last counted.
        TimePoint countedAt;
    };

    static Key keyOf(const LatencyKind &kind, bool ofRoute)
    {
        return {ofRoute ? kind.route : std::string(), kind.service, kind.model,
                sizeClassOf(kind.workTokens)};
    }
    void add(const InFlight &request, TimePoint now)
    {
        const double seconds = secondsOf(now - request.sentAt);
        if (kinds.size() >= MaxKinds) {
            std::erase_if(kinds, [&](const auto &entry) {
                return entry.second.samples(now) < ForgottenSamples;
            });
        }
        if (kinds.size() < MaxKinds) {
            kinds[keyOf(request.kind, true)].add(seconds, now);
            kinds[keyOf(request.kind, false)].add(seconds, now);
        }
        services[request.kind.service].add(seconds / scaleOf(request.kind.workTokens), now);
        const bool late = now - request.sentAt > request.lateAfter;
        lateness[request.kind.service].ended.add(late ? 1 : 0, 1, now);
    }
    /// Ends the request and counts its latency.
    void end(Ticket ticket, TimePoint now)
    {
        const auto found = inFlight.find(ticket);
        if (found != inFlight.end()) {
            add(found->second, now);
            inFlight.erase(found);
        }
    }
    int countOverdue(const ServiceId &service, TimePoint now) const
    {
        return static_cast<int>(
            std::count_if(inFlight.begin(), inFlight.end(), [&](const auto &entry) {
                return entry.second.kind.service == service
                    && now - entry.second.sentAt > entry.second.lateAfter;
            }));
    }

    std::map<Key, DecayingLatencies> kinds;
    std::map<ServiceId, DecayingLatencies> services; ///< Scaled by work.
    std::map<ServiceId, Lateness> lateness;
    std::map<Ticket, InFlight> inFlight;
    Ticket nextTicket = 1;
};

LatencyTracker::LatencyTracker()
    : m_state(std::make_unique<State>())
{
}

LatencyTracker::~LatencyTracker() = default;

LatencyTracker::Ticket LatencyTracker::onSent(const LatencyKind &kind, Duration lateAfter,
                                              TimePoint now)
{
    m_state->inFlight[m_state->nextTicket] = {kind, lateAfter, now};
    return m_state->nextTicket++;
}

void LatencyTracker::onAnswered(Ticket ticket, TimePoint now)
{
    m_state->end(ticket, now);
}

void LatencyTracker::onAbandoned(Ticket ticket, TimePoint now)
{
    m_state->end(ticket, now);
}

void LatencyTracker::onCancelled(Ticket ticket)
{
    m_state->inFlight.erase(ticket);
}

std::optional<UsualLatency> LatencyTracker::usual(const LatencyKind &kind, double share,
                                                  TimePoint now) const
{
    const auto quantileOf = [&](const DecayingLatencies &latencies, double scale,
                                const char *source) {
        const std::chrono::duration<double> seconds(latencies.quantile(share) * scale);
        return UsualLatency{std::chrono::duration_cast<Duration>(seconds), latencies.samples(now),
                            source};
    };
    for (const bool ofRoute : {true, false}) {
        const auto found = m_state->kinds.find(State::keyOf(kind, ofRoute));
        if (found != m_state->kinds.end() && found->second.samples(now) >= MinSamples) {
            return quantileOf(found->second, 1, ofRoute ? "kind" : "size");
        }
    }
    const auto found = m_state->services.find(kind.service);
    if (found == m_state->services.end() || found->second.samples(now) < MinSamples) {
        return std::nullopt;
    }
    return quantileOf(found->second, scaleOf(kind.workTokens), "service");
}

double LatencyTracker::lateShare(const ServiceId &service, TimePoint now)
{
    State::Lateness &lateness = m_state->lateness[service];
    if (lateness.countedAt == TimePoint() || now - lateness.countedAt >= OverdueCountLifetime) {
        lateness.overdue = m_state->countOverdue(service, now);
        lateness.countedAt = now;
    }
    // Adds the requests without an answer to a copy of the ratio.
    DecayingRatio share = lateness.ended;
    share.add(lateness.overdue, lateness.overdue, now);
    return share.value(now);
}

} // namespace lycheearch
