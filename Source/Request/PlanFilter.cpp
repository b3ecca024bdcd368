#include "Request/PlanFilter.h"

namespace lycheearch {

namespace {

std::string describe(const std::vector<VersionId> &versions)
{
    std::string text;
    for (const VersionId &version : versions) {
        text += text.empty() ? version.value() : ", then " + version.value();
    }
    return text;
}

} // namespace

PlanFilter::PlanFilter(const Planner &planner, const BackendTable &backends,
                       SessionDirectory &sessions, const Rater &rater, Timeline &timeline,
                       const Clock &clock)
    : m_planner(planner)
    , m_backends(backends)
    , m_sessions(sessions)
    , m_rater(rater)
    , m_timeline(timeline)
    , m_clock(clock)
{
}

Status PlanFilter::apply(RequestContext &context)
{
    const CallerRequest &request = context.request;
    if (request.kind != RequestKind::Chat) {
        return std::nullopt;
    }
    const bool inSession = !request.session.empty();
    if (context.sessionVersion) {
        context.plan.kind = PlanKind::Session;
        context.plan.versions = {*context.sessionVersion};
        recordPlan(context);
        return std::nullopt;
    }
    const TimePoint now = m_clock.now();
    const PlanRequest planRequest{*context.config,
                                  context.account,
                                  request.model,
                                  request.taskClass,
                                  inSession,
                                  m_rater.healthy(now),
                                  request.deadline - now,
                                  context.hashFraction,
                                  m_backends.usableVersions(*context.config, now)};
    const Result<Plan> plan = m_planner.plan(planRequest);
    if (!plan.ok()) {
        return plan.failure();
    }
    context.plan = plan.value();
    if (inSession) {
        const Status failure = pinNewSession(context);
        if (failure) {
            return failure;
        }
    }
    recordPlan(context);
    return std::nullopt;
}

Status PlanFilter::pinNewSession(RequestContext &context)
{
    const VersionId version =
        m_sessions.pin(context.sessionKey, context.plan.versions.back(), m_clock.now());
    context.sessionVersion = version;
    context.sessionToken = m_sessions.token(context.sessionKey, version);
    if (context.plan.versions != std::vector<VersionId>{version}) {
        context.plan.kind = PlanKind::Session;
        context.plan.versions = {version};
    }
    return std::nullopt;
}

void PlanFilter::recordPlan(const RequestContext &context)
{
    TimelineEvent event;
    event.kind = "plan";
    event.request = context.request.id;
    event.session = context.request.session;
    event.version = context.plan.versions.front();
    event.detail =
        std::string(planKindName(context.plan.kind)) + ": " + describe(context.plan.versions);
    m_timeline.record(event);
    for (const PlanOption &option : context.plan.options) {
        TimelineEvent optionEvent = event;
        optionEvent.kind = "plan-option";
        optionEvent.version = option.versions.front();
        optionEvent.detail = describe(option.versions) + ": expected cost "
            + std::to_string(static_cast<std::int64_t>(option.cost)) + ", quality bound "
            + std::to_string(option.quality).substr(0, 5) + ": " + option.verdict;
        m_timeline.record(optionEvent);
    }
}

} // namespace lycheearch
