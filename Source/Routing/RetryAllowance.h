#pragma once

#include <deque>
#include <map>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Bound of repeated sends that all daemons share.
struct RetryBounds
{
    double ratio = 0; ///< Repeats for each request within the window.
    Duration window{};
    double slack = 0; ///< Repeats beyond the ratio that this daemon may add.
};

/// Limits repeated sends of one daemon to a share of the requests that it got for a service, so
/// that the sum over all daemons keeps the bound without any talk among them.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryBounds bounds);

    void setBounds(RetryBounds bounds) { m_bounds = bounds; }
    /// A request for the service arrived.
    void onRequest(const ServiceId &service, TimePoint now);
    /// Takes one repeat. Returns false if the window has no room for it.
    bool withdraw(const ServiceId &service, TimePoint now);

private:
    /// Counts of one short span of time.
    struct Span
    {
        TimePoint start;
        int requests = 0;
        int repeats = 0;
    };

    Span &currentSpan(const ServiceId &service, TimePoint now);

    RetryBounds m_bounds;
    std::map<ServiceId, std::deque<Span>> m_spans;
};

} // namespace lycheearch
