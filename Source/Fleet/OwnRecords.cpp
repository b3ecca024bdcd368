#include "Fleet/OwnRecords.h"

#include "Fleet/RecordJson.h"

namespace lycheearch {

namespace {

using Json = nlohmann::json;

constexpr std::string_view MemberPrefix = "member/";
constexpr std::string_view EvidencePrefix = "evidence/";
constexpr std::string_view StagePrefix = "stage/";
constexpr std::string_view CondemnedPrefix = "condemned/";

constexpr IntegerRange AgeMilliseconds{0, 1'000'000'000'000};
/// Until the year 9999, and as far before 1970: the clock of the daemon that wrote it may be wrong.
constexpr IntegerRange UnixMilliseconds{-253'402'300'799'999, 253'402'300'799'999};

/// The buckets that are not empty: index, observed, waiting.
Json delaysToJson(const DelayHistogram &delays)
{
    Json buckets = Json::array();
    for (std::size_t i = 0; i < DelayHistogram::Buckets; ++i) {
        if (delays.observed.at(i) != 0 || delays.waiting.at(i) != 0) {
            buckets.push_back({i, delays.observed.at(i), delays.waiting.at(i)});
        }
    }
    return buckets;
}

DelayHistogram delaysFrom(const Json &value)
{
    DelayHistogram delays;
    for (const Json &bucket : value) {
        const auto index = bucket.at(0).get<std::size_t>();
        if (index < DelayHistogram::Buckets) {
            delays.observed.at(index) = bucket.at(1).get<std::int64_t>();
            delays.waiting.at(index) = bucket.at(2).get<std::int64_t>();
        }
    }
    return delays;
}

/// Positions 2 and 3 held the number and the sum of the latencies. Older daemons still read them,
/// so they stay and are zero.
Json toJson(const VersionCounts &counts)
{
    return Json::array({counts.good, counts.bad, 0, 0.0, counts.inFlight, counts.latencySamples,
                        counts.logLatencySum, counts.logLatencySquares, counts.sent,
                        delaysToJson(counts.answerDelays)});
}

Json toJson(const RolloutEvidence &evidence)
{
    Json entry = {{"daemon", evidence.daemon.value()},    {"service", evidence.service.value()},
                  {"target", evidence.target.value()},    {"stage", evidence.stage},
                  {"new", toJson(evidence.targetCounts)}, {"old", toJson(evidence.otherCounts)}};
    if (evidence.countedAfter) {
        entry["counted_after_ms"] = toMilliseconds(*evidence.countedAfter);
    }
    return entry;
}

VersionCounts countsFrom(const Json &value)
{
    VersionCounts counts;
    counts.good = value.at(0).get<std::int64_t>();
    counts.bad = value.at(1).get<std::int64_t>();
    counts.inFlight = value.at(4).get<std::int64_t>();
    // Older daemons write fewer values.
    constexpr std::size_t sizeWithLatencies = 9;
    constexpr std::size_t answerDelaysAt = 9;
    if (value.size() >= sizeWithLatencies) {
        counts.latencySamples = value.at(5).get<std::int64_t>();
        counts.logLatencySum = value.at(6).get<double>();
        counts.logLatencySquares = value.at(7).get<double>();
        counts.sent = value.at(8).get<std::int64_t>();
    }
    if (value.size() > answerDelaysAt) {
        counts.answerDelays = delaysFrom(value.at(answerDelaysAt));
    }
    return counts;
}

std::string condemnedName(const SuspectKey &key)
{
    return std::string(CondemnedPrefix) + std::to_string(key.account) + "/"
        + std::to_string(key.hash);
}

FleetRecord decodeMember(const RawRecord &record, const Json &value)
{
    MemberRegistered member;
    member.instance = InstanceId(record.key.substr(MemberPrefix.size()));
    member.dataCentre = DataCentreId(value.at("data_centre").get<std::string>());
    const auto feed = Endpoint::parse(value.at("feed").get<std::string>());
    if (!feed) {
        return UnreadableRecord{record.key, "at feed: expected IP:PORT"};
    }
    member.feed = *feed;
    if (value.contains("relay")) {
        member.relay = Endpoint::parse(value.at("relay").get<std::string>());
    }
    member.registeredAt = requireInteger(value, "registered_ms", UnixMilliseconds);
    return member;
}

FleetRecord decodeEvidence(const RawRecord &record, const Json &value)
{
    EvidenceCollected collected;
    collected.collector = InstanceId(record.key.substr(EvidencePrefix.size()));
    for (const Json &entry : value.at("orders")) {
        collected.orderAges.push_back(
            {ServiceId(entry.at("service").get<std::string>()),
             VersionId(entry.at("target").get<std::string>()),
             std::chrono::milliseconds(requireInteger(entry, "age_ms", AgeMilliseconds))});
    }
    for (const Json &entry : value.at("evidence")) {
        RolloutEvidence evidence;
        evidence.daemon = InstanceId(entry.at("daemon").get<std::string>());
        evidence.service = ServiceId(entry.at("service").get<std::string>());
        evidence.target = VersionId(entry.at("target").get<std::string>());
        evidence.stage = entry.at("stage").get<int>();
        evidence.targetCounts = countsFrom(entry.at("new"));
        evidence.otherCounts = countsFrom(entry.at("old"));
        if (entry.contains("counted_after_ms")) {
            evidence.countedAfter = std::chrono::milliseconds(
                requireInteger(entry, "counted_after_ms", AgeMilliseconds));
        }
        collected.evidence.push_back(std::move(evidence));
    }
    return collected;
}

FleetRecord decodeStage(const RawRecord &record, const Json &value)
{
    RolloutStage stage;
    stage.service = ServiceId(record.key.substr(StagePrefix.size()));
    stage.target = VersionId(value.at("target").get<std::string>());
    stage.stage = value.at("stage").get<int>();
    stage.firstShare = value.at("first_share").get<double>();
    stage.condemned = value.at("condemned").get<bool>();
    stage.complete = value.at("complete").get<bool>();
    stage.canaryShare = value.value("canary_share", 0.0);
    return stage;
}

FleetRecord decodeCondemned(const RawRecord &record, const Json &value)
{
    PromptPartCondemned condemned;
    condemned.key.account = value.at("account").get<std::uint64_t>();
    condemned.key.hash = value.at("part").get<std::uint64_t>();
    condemned.condemnedAt = requireInteger(value, "condemned_ms", UnixMilliseconds);
    if (record.key != condemnedName(condemned.key)) {
        return UnreadableRecord{record.key, "at key: expected " + condemnedName(condemned.key)};
    }
    return condemned;
}

std::string recordKey(std::string_view prefix, const std::string &name)
{
    return std::string(prefix) + name;
}

} // namespace

bool hasRolloutEvidence(const RawRecord &record)
{
    return record.key.starts_with(EvidencePrefix);
}

FleetRecord decodeOwnRecord(const RawRecord &record)
{
    if (record.value.empty() && hasRolloutEvidence(record)) {
        return EvidenceCollected{InstanceId(record.key.substr(EvidencePrefix.size())), {}, {}};
    }
    if (record.value.empty()) {
        return UnreadableRecord{record.key, "the key was deleted"};
    }
    const Json value = parseRecordJson(record.value);
    if (record.key.starts_with(MemberPrefix)) {
        return decodeMember(record, value);
    }
    if (hasRolloutEvidence(record)) {
        return decodeEvidence(record, value);
    }
    if (record.key.starts_with(StagePrefix)) {
        return decodeStage(record, value);
    }
    if (record.key.starts_with(CondemnedPrefix)) {
        return decodeCondemned(record, value);
    }
    return UnreadableRecord{record.key, "unknown record key"};
}

RawRecord encodeOwnRecord(const FleetRecord &record)
{
    if (const auto *member = std::get_if<MemberRegistered>(&record)) {
        Json value = {{"data_centre", member->dataCentre.value()},
                      {"feed", member->feed.text()},
                      {"registered_ms", member->registeredAt}};
        if (member->relay) {
            value["relay"] = member->relay->text();
        }
        return {Offset(), recordKey(MemberPrefix, member->instance.value()), value.dump()};
    }
    if (const auto *collected = std::get_if<EvidenceCollected>(&record)) {
        Json entries = Json::array();
        for (const RolloutEvidence &evidence : collected->evidence) {
            entries.push_back(toJson(evidence));
        }
        Json orders = Json::array();
        for (const RolloutOrderAge &order : collected->orderAges) {
            orders.push_back({{"service", order.service.value()},
                              {"target", order.target.value()},
                              {"age_ms", toMilliseconds(order.age)}});
        }
        const Json value = {{"evidence", std::move(entries)}, {"orders", std::move(orders)}};
        return {Offset(), recordKey(EvidencePrefix, collected->collector.value()), value.dump()};
    }
    if (const auto *stage = std::get_if<RolloutStage>(&record)) {
        const Json value = {
            {"target", stage->target.value()},  {"stage", stage->stage},
            {"first_share", stage->firstShare}, {"condemned", stage->condemned},
            {"complete", stage->complete},      {"canary_share", stage->canaryShare}};
        return {Offset(), recordKey(StagePrefix, stage->service.value()), value.dump()};
    }
    if (const auto *condemned = std::get_if<PromptPartCondemned>(&record)) {
        const Json value = {{"account", condemned->key.account},
                            {"part", condemned->key.hash},
                            {"condemned_ms", condemned->condemnedAt}};
        return {Offset(), condemnedName(condemned->key), value.dump()};
    }
    return {};
}

} // namespace lycheearch
