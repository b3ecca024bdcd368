#pragma once

#include <deque>
#include <map>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Limit on retries that all daemons share.
struct RetryBounds
{
    double ratio = 0; ///< Retries per request within the window.
    Duration window{}; ///< Length of the sliding window.
    /// Retries that this daemon may send beyond the ratio, once it has run for a whole window.
    double slack = 0;
};

/// What a daemon has counted for one service within the window, and what that allows.
struct RetryUsage
{
    int requests = 0;
    int retries = 0;
    double allowed = 0; ///< Retries.
};

/// Limits the retries of one daemon to a share of the requests that it received for a service
/// within a sliding window. Prevents retry storms: the retries of all daemons together stay within
/// the limit without coordination, also when daemons end and others start in their place: a daemon
/// has its part of the slack only when what its predecessor may have sent is out of the window.
/// Not thread-safe.
class WindowedRetryBudget
{
public:
    /// \p startedAt is the time at which this daemon started.
    explicit WindowedRetryBudget(RetryBounds bounds, TimePoint startedAt = TimePoint());

    void setBounds(RetryBounds bounds) { m_bounds = bounds; }
    /// Records a request for the service.
    void onRequest(const ServiceId &service, TimePoint now);
    /// Whether one more retry is left when \p reserveShare of the budget is kept for others.
    bool allows(const ServiceId &service, TimePoint now, double reserveShare = 0);
    /// What the decisions are made from.
    RetryUsage usage(const ServiceId &service, TimePoint now);
    const RetryBounds &bounds() const { return m_bounds; }
    /// Takes one retry from the budget. Returns false if the window allows no more.
    bool tryWithdraw(const ServiceId &service, TimePoint now, double reserveShare = 0);

private:
    /// Counts of one interval of the window.
    struct Interval
    {
        TimePoint start;
        int requests = 0;
        int retries = 0;
    };

    Duration intervalLength() const;
    Interval &currentInterval(const ServiceId &service, TimePoint now);

    RetryBounds m_bounds;
    TimePoint m_startedAt;
    std::map<ServiceId, std::deque<Interval>> m_intervals;
};

} // namespace lycheearch
