#pragma once

#include <deque>
#include <map>
#include <string>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Limits the requests that are sent a second time because their answer is late, to a share of the
/// requests that this daemon received for a service within a sliding window. All daemons together
/// keep to the share without messages: each one's allowance comes from its own requests. It answers
/// many daemons with few requests each: an allowance is rounded by a threshold that differs by
/// daemon and changes every EpochWindows windows, so that a daemon with an allowance of 0.1 has one
/// in a tenth of the time. The sum of the rounded allowances is the sum of the allowances but for
/// chance. An allowance never exceeds its mean over EpochWindows windows, or each daemon would use
/// the moment in which it had the most requests.
class HedgeBudget
{
public:
    /// Windows after which a daemon's threshold changes.
    static constexpr int EpochWindows = 10;

    explicit HedgeBudget(const InstanceId &self);

    /// \p maxShare is the share of the requests, as a fraction.
    void setLimit(double maxShare, Duration window);
    /// Records a request for the service.
    void onRequest(const ServiceId &service, TimePoint now);
    /// What is left of the allowance; 1 or more allows one more request to be sent a second time.
    double left(const ServiceId &service, TimePoint now);
    /// Takes one from the allowance. Returns false if none is left.
    bool tryWithdraw(const ServiceId &service, TimePoint now);

private:
    /// Counts of a part of a window.
    struct Interval
    {
        TimePoint start;
        int requests = 0;
        int sent = 0;
    };

    struct History
    {
        TimePoint since; ///< When the first request was counted.
        std::deque<Interval> intervals; ///< Of EpochWindows windows, oldest first.
    };

    Interval &currentInterval(const ServiceId &service, TimePoint now);
    /// By which the allowance is rounded up, from 0 to 1.
    double threshold(const ServiceId &service, TimePoint now) const;

    std::string m_self;
    double m_maxShare = 0;
    Duration m_window{};
    std::map<ServiceId, History> m_histories;
};

} // namespace lycheearch
