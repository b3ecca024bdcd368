#pragma once

#include "Request/Filter.h"
#include "Request/Rater.h"
#include "Routing/BackendTable.h"
#include "Routing/Planner.h"
#include "State/SessionDirectory.h"
#include "Timeline/Timeline.h"

namespace lycheearch {

/// Plans which versions to run, and pins a new session to its version before the request is sent to
/// a backend server.
class PlanFilter : public Filter
{
public:
    PlanFilter(const Planner &planner, const BackendTable &backends, SessionDirectory &sessions,
               const Rater &rater, Timeline &timeline, const Clock &clock);
    Status apply(RequestContext &context) override;

private:
    Status pinNewSession(RequestContext &context);
    void recordPlan(const RequestContext &context);

    const Planner &m_planner;
    const BackendTable &m_backends;
    SessionDirectory &m_sessions;
    const Rater &m_rater;
    Timeline &m_timeline;
    const Clock &m_clock;
};

} // namespace lycheearch
