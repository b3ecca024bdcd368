#pragma once

#include "Request/Filter.h"
#include "Request/GenerationRunner.h"
#include "Request/Rater.h"
#include "Request/ServiceRunner.h"
#include "Routing/SuspectVersions.h"

namespace lycheearch {

/// Calls the plain service, or runs the versions of the plan in order until a response is good. The
/// response of every version except the last is rated before any part of it is sent to the caller.
class DispatchFilter : public Filter
{
public:
    /// Share of the responses of the last or only version of a plan that are rated, as a sample.
    /// The responses of canary plans and of suspect versions are rated whether sampled or not.
    static constexpr double SampledShare = 0.2;

    DispatchFilter(GenerationRunner &generations, ServiceRunner &services, Rater &rater,
                   const SuspectVersions &suspects, Metrics &metrics, Timeline &timeline);
    Status apply(RequestContext &context) override;

private:
    Status runService(RequestContext &context);
    Status runPlan(RequestContext &context);
    void rateIfSampled(const RequestContext &context, const VersionId &version,
                       const Generation &generation);
    Status finish(RequestContext &context, const VersionId &version, const Generation &generation);

    GenerationRunner &m_generations;
    ServiceRunner &m_services;
    Rater &m_rater;
    const SuspectVersions &m_suspects;
    Metrics &m_metrics;
    Timeline &m_timeline;
};

} // namespace lycheearch
