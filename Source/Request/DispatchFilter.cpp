#include "Request/DispatchFilter.h"

namespace lycheearch {

namespace {

/// Makes sampling independent of the planner, which uses the same hash.
constexpr double SamplingMultiplier = 997.0;

MicroCost priceOf(const RequestContext &context, const VersionId &version, Tokens tokens)
{
    const VersionSpec *spec = context.config->manifest->findVersion(version);
    if (spec == nullptr) {
        return {};
    }
    return MicroCost(spec->costPerRequest.value() + spec->costPerToken.value() * tokens.value());
}

RatingRequest ratingRequest(const RequestContext &context, const VersionId &version,
                            const Generation &generation)
{
    return {context.request.id, version, context.request.taskClass, context.request.prompt,
            generation.text};
}

} // namespace

DispatchFilter::DispatchFilter(GenerationRunner &generations, ServiceRunner &services, Rater &rater,
                               const SuspectVersions &suspects, Metrics &metrics,
                               Timeline &timeline)
    : m_generations(generations)
    , m_services(services)
    , m_rater(rater)
    , m_suspects(suspects)
    , m_metrics(metrics)
    , m_timeline(timeline)
{
}

Status DispatchFilter::apply(RequestContext &context)
{
    return context.request.kind == RequestKind::Chat ? runPlan(context) : runService(context);
}

Status DispatchFilter::runService(RequestContext &context)
{
    const Result<std::string> result = m_services.run(context);
    context.subject = context.request.service.value() + "/" + context.operation.name.value();
    if (!result.ok()) {
        return result.failure();
    }
    context.charge = context.operation.cost;
    context.result = RequestResult{result.value(), {}, {}, context.bodyHash, std::nullopt};
    return std::nullopt;
}

Status DispatchFilter::runPlan(RequestContext &context)
{
    const std::vector<VersionId> &versions = context.plan.versions;
    for (std::size_t step = 0; step < versions.size(); ++step) {
        const bool last = step + 1 == versions.size();
        const VersionId &version = versions[step];
        const Generation generation =
            m_generations.run(context, version, last ? context.stream : nullptr);
        m_metrics.count("lycheearch_cost_micro_total", "version=\"" + version.value() + "\"",
                        static_cast<double>(priceOf(context, version, generation.tokens).value()));
        if (last) {
            rateIfSampled(context, version, generation);
            return finish(context, version, generation);
        }
        if (generation.failure) {
            continue;
        }
        const auto good = m_rater.rateNow(ratingRequest(context, version, generation));
        TimelineEvent event;
        event.kind = "rate";
        event.request = context.request.id;
        event.version = version;
        event.detail = good ? (*good ? "good" : "not good enough") : "not rated";
        m_timeline.record(event);
        if (good.value_or(false)) {
            if (context.stream != nullptr) {
                context.stream->onDelta(generation.text);
            }
            return finish(context, version, generation);
        }
    }
    return makeFailure(Errc::NoBackend, "the plan is empty");
}

void DispatchFilter::rateIfSampled(const RequestContext &context, const VersionId &version,
                                   const Generation &generation)
{
    if (generation.failure || generation.cancelled) {
        return;
    }
    const double hashFraction = context.hashFraction * SamplingMultiplier;
    const bool sampled =
        hashFraction - static_cast<double>(static_cast<std::int64_t>(hashFraction)) < SampledShare;
    const bool alwaysRated = context.plan.kind == PlanKind::Canary || m_suspects.contains(version);
    if (sampled || alwaysRated) {
        m_rater.rateLater(ratingRequest(context, version, generation));
    }
}

Status DispatchFilter::finish(RequestContext &context, const VersionId &version,
                              const Generation &generation)
{
    context.subject = version.value();
    if (generation.failure) {
        return generation.failure;
    }
    context.charge = priceOf(context, version, generation.tokens);
    context.result =
        RequestResult{generation.text, generation.tokens, version, context.bodyHash, std::nullopt};
    return std::nullopt;
}

} // namespace lycheearch
