#pragma once

#include <string>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Routing/WindowedRetryBudget.h"

namespace lycheearch {

/// Limits the requests that are sent a second time because their answer is late, to a share of the
/// requests that this daemon received for a service within a sliding window. All daemons together
/// keep to the share without messages: each one's allowance comes from its own requests. It answers
/// many daemons with few requests each: an allowance below one is rounded by a threshold that
/// differs by daemon and changes every EpochWindows windows, so that a daemon with an allowance of
/// 0.1 has one in a tenth of the time. The sum of the rounded allowances is the sum of the
/// allowances but for chance.
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
    /// Whether one more request may be sent a second time.
    bool allows(const ServiceId &service, TimePoint now);
    /// Takes one from the allowance. Returns false if none is left.
    bool tryWithdraw(const ServiceId &service, TimePoint now);

private:
    /// Sets the threshold of the service for the present epoch.
    void setThreshold(const ServiceId &service, TimePoint now);

    std::string m_self;
    double m_maxShare = 0;
    Duration m_length{};
    WindowedRetryBudget m_window;
};

} // namespace lycheearch
