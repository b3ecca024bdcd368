#include <algorithm>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Feed/FeedMessages.h"
#include "Fleet/RecordDecoder.h"
#include "Fleet/RecordJson.h"
#include "Fleet/RecordMirror.h"
#include "Fleet/RoutingTable.h"
#include "platform/PlatformRecordCodec.h"

// Prints the processor time of each step that a version of the configuration passes through, from
// the record of the store to the routing table, by the number of routes: lycheearch-config-cost.
// Each figure is the middle one of several repetitions, in microseconds.

using namespace lycheearch;

namespace {

constexpr int Repetitions = 15;
constexpr int RouteCounts[] = {40, 1'400, 2'852, 5'000, 20'000};
constexpr int RoutesPerHost = 50;
constexpr int ServiceCount = 12;
constexpr const char *ConfigKey = "config";

nlohmann::json routeJson(int index)
{
    return {{"Name", "route-" + std::to_string(index)},
            {"Host", "host-" + std::to_string(index / RoutesPerHost) + ".example"},
            {"PathPrefix", "/part-" + std::to_string(index) + "/"},
            {"Kind", "idempotent"},
            {"Service", "service-" + std::to_string(index % ServiceCount)},
            {"TimeoutMs", 4000},
            {"TargetLatencyMs", 400},
            {"Priority", index % 3},
            {"MaxAttempts", 2},
            {"Public", false}};
}

/// A version whose first route is the only one that differs from the version before.
std::string configText(int routes, int version)
{
    nlohmann::json config = {{"Version", version}};
    for (int i = 0; i < routes; ++i) {
        config["Routes"].push_back(routeJson(i));
    }
    config["Routes"][0]["TimeoutMs"] = 4000 + version;
    for (int i = 0; i < ServiceCount; ++i) {
        config["Services"].push_back({{"Name", "service-" + std::to_string(i)},
                                      {"HealthPath", "/health"},
                                      {"MaxConns", 100}});
    }
    return config.dump();
}

double processorMicroseconds()
{
    constexpr double microsecondsPerSecond = 1e6;
    constexpr double nanosecondsPerMicrosecond = 1e3;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * microsecondsPerSecond
        + static_cast<double>(time.tv_nsec) / nanosecondsPerMicrosecond;
}

/// The middle time of a step. \p prepare runs before each repetition and is not timed.
double timeOf(
    const std::function<void()> &step, const std::function<void()> &prepare = [] {})
{
    std::vector<double> times;
    for (int i = 0; i < Repetitions; ++i) {
        prepare();
        const double begin = processorMicroseconds();
        step();
        times.push_back(processorMicroseconds() - begin);
    }
    std::nth_element(times.begin(), times.begin() + Repetitions / 2, times.end());
    return times[Repetitions / 2];
}

void printStep(const char *name, double microseconds)
{
    constexpr int nameWidth = 34;
    constexpr int timeWidth = 10;
    std::cout << "  " << std::left << std::setw(nameWidth) << name << std::right
              << std::setw(timeWidth) << std::fixed << std::setprecision(0) << microseconds << "\n";
}

void measureNextVersion(const RecordCodec &codec, int routes)
{
    RecordDecoder decoder(codec);
    FleetRecord record;
    int version = 1;
    RawRecord next;
    const auto prepare = [&] { next = {Offset(0), ConfigKey, configText(routes, ++version)}; };
    const auto decode = [&] { record = decoder.decode(Topic::Operator, next, std::nullopt); };
    printStep("decode in parts, first version",
              timeOf([&] { RecordDecoder(codec).decode(Topic::Operator, next, {}); }, prepare));
    printStep("decode, one route differs", timeOf(decode, prepare));
    printStep("decode, not newer",
              timeOf([&] { decoder.decode(Topic::Operator, next, ConfigVersion(version)); }));
}

void measureDecode(const RawRecord &raw, int routes)
{
    const platform::PlatformRecordCodec codec;
    printStep("JSON tree", timeOf([&] { parseRecordJson(raw.value); }));
    printStep("whole decode, JSON tree included",
              timeOf([&] { codec.decode(Topic::Operator, raw); }));
    measureNextVersion(codec, routes);
    const FleetRecord record = codec.decode(Topic::Operator, raw);
    const auto &config = std::get<ConfigPublished>(record).config;
    std::unique_ptr<RoutingTable> table;
    printStep(
        "routing table",
        timeOf([&] { table = std::make_unique<RoutingTable>(config); }, [&] { table.reset(); }));
}

void measureFeed(const RecordPage &page)
{
    RecordMirror mirror;
    printStep("copy into the mirror", timeOf([&] { mirror.apply(Topic::Operator, page); }));
    std::string frame;
    printStep("copy into a feed message, encode", timeOf([&] {
                  frame = encodeFeedFrame(FeedPage{Topic::Operator, false, page});
              }));
    printStep("read the feed message", timeOf([&] {
                  std::vector<FeedMessage> messages;
                  FeedFrameReader().feed(frame, messages);
              }));
    std::cout << "  the feed message has " << frame.size() << " bytes\n";
}

} // namespace

int main()
{
    for (const int routes : RouteCounts) {
        const RawRecord raw{Offset(0), ConfigKey, configText(routes, 1)};
        std::cout << routes << " routes, " << raw.value.size() << " bytes, microseconds:\n";
        measureDecode(raw, routes);
        RecordPage page;
        page.records.push_back(raw);
        measureFeed(page);
    }
    return 0;
}
