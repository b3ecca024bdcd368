#include "Forward/SpeedObservations.h"

namespace lycheearch {

namespace {

constexpr const char *SamplesMetric = "lycheearch_server_speed_samples_total";

void reportChange(ForwardContext &context, const BegunAnswer &answer, TimePoint now)
{
    const SpeedChange change = context.picker.takeSpeedChange(answer.backend, now);
    if (change == SpeedChange::None) {
        return;
    }
    const bool slow = change == SpeedChange::FoundSlow;
    context.metrics.count(slow ? "lycheearch_servers_found_slow_total"
                               : "lycheearch_servers_no_longer_slow_total");
    context.log.write(LogPriority::Notable,
                      LogLine(slow ? "backend.slow" : "backend.no_longer_slow")
                          .add("id", answer.request.value())
                          .add("backend", answer.backend.value())
                          .add("kind", answer.kind)
                          .add("slowness", context.picker.lastingSlowness(answer.backend, now)),
                      now);
}

} // namespace

void recordReportedLoad(ForwardContext &context, const RequestId &request,
                        const InstanceId &backend, const ResponseMetadata &metadata, TimePoint now)
{
    if (metadata.load) {
        context.picker.onLoadReported(backend, metadata.load->running, metadata.load->waiting, now);
        if (metadata.load->hostSlowness) {
            context.picker.onHostReported(backend, *metadata.load->hostSlowness, now);
        }
    }
    if (!metadata.unreadableLoad.empty() && context.picker.onUnreadableLoad(backend)) {
        context.log.write(LogPriority::Notable,
                          LogLine("backend.load_unreadable")
                              .add("id", request.value())
                              .add("backend", backend.value())
                              .add("text", metadata.unreadableLoad),
                          now);
    }
}

void recordAnswerBegun(ForwardContext &context, const BegunAnswer &answer, TimePoint now)
{
    if (context.picker.onAnswerBegun(answer.backend, answer.kind, answer.work, answer.latency,
                                     now)) {
        context.metrics.count(SamplesMetric, "of=\"begin\"");
        reportChange(context, answer, now);
    }
}

void recordGap(ForwardContext &context, const InstanceId &backend, const std::string &kind,
               Duration gap, TimePoint now)
{
    if (context.picker.onGap(backend, kind, gap, now)) {
        context.metrics.count(SamplesMetric, "of=\"gap\"");
    }
}

} // namespace lycheearch
