#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Requests whose answers take similarly long.
struct LatencyKind
{
    std::string route;
    ServiceId service;
    std::string model;
    double workTokens = 0; ///< Weighted prompt tokens that the server must prefill.
};

/// A quantile of the latencies of a kind of request.
struct UsualLatency
{
    Duration latency{};
    double samples = 0; ///< Requests that it is taken from, weighted by age.
    const char *source = ""; ///< "kind", "size" (all routes) or "service" (scaled by work).
};

/// Learns how long answers usually take, from the requests of this daemon: the first event of a
/// stream, the whole answer of other requests. Latencies are kept by route, model and size class of
/// the prompt work. A kind of which this daemon has seen little falls back to all routes of the
/// service with that model and size class, then to all requests of the service, scaled by work.
///
/// It answers two loads that look alike to one request: one server of many that hangs, and a
/// service whose servers are all slow. Old samples decay, so that the quantiles follow a slower
/// service; lateShare() tells it before they do, since requests without an answer count in it.
class LatencyTracker
{
public:
    /// Identifies a request without an answer; 0 is none.
    using Ticket = std::uint64_t;

    LatencyTracker();
    ~LatencyTracker();

    /// Records a request that is sent, and the wait after which it counts as late.
    Ticket onSent(const LatencyKind &kind, Duration lateAfter, TimePoint now);
    /// Records that the answer came.
    void onAnswered(Ticket ticket, TimePoint now);
    /// Records that the request ended without an answer after it had waited: its latency is at
    /// least that long.
    void onAbandoned(Ticket ticket, TimePoint now);
    /// Drops a request whose end says nothing about latencies.
    void onCancelled(Ticket ticket);

    /// The quantile \p share of the latencies of the kind; std::nullopt while this daemon has seen
    /// too little of the whole service.
    std::optional<UsualLatency> usual(const LatencyKind &kind, double share, TimePoint now) const;
    /// Recent requests of the service that were late, as a share of all; those without an answer
    /// count once they are late.
    double lateShare(const ServiceId &service, TimePoint now);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lycheearch
