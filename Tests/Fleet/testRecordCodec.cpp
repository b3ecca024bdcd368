#include <criterion/criterion.h>

#include "Fleet/OwnRecords.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;

namespace {

FleetRecord decode(Topic topic, const std::string &key, const std::string &value)
{
    return platform::PlatformRecordCodec().decode(topic, {Offset(0), key, value});
}

std::string backendJson(const std::string &replacedField, const std::string &replacement)
{
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"Service", "\"s\""},     {"Address", "\"10.0.0.1:80\""},
        {"Zone", "\"d\""},        {"Version", "\"v1\""},
        {"Slots", "4"},           {"State", "\"ready\""},
        {"ColdMs", "0"},          {"Sequence", "3"},
        {"born", "1700000000000"}};
    std::string text = "{";
    for (const auto &[name, value] : fields) {
        const std::string fieldValue = name == replacedField ? replacement : value;
        if (!fieldValue.empty()) {
            text += (text.size() > 1 ? "," : "") + ("\"" + name + "\":" + fieldValue);
        }
    }
    return text + "}";
}

} // namespace

Test(recordCodec, a_backend_report_is_decoded)
{
    const FleetRecord record = decode(Topic::Backends, "i-1", backendJson("", ""));
    const auto *reported = std::get_if<BackendReported>(&record);
    cr_assert_not_null(reported);
    cr_expect_str_eq(reported->report.id.value().c_str(), "i-1");
    cr_expect_eq(reported->report.address.port, 80);
    cr_expect_eq(reported->report.startedAt, 1700000000000);
}

Test(recordCodec, a_report_with_an_invalid_field_is_unreadable)
{
    const std::vector<std::pair<std::string, std::string>> invalidFields = {
        {"Service", ""},        {"Service", "7"}, {"Service", "\"\""},  {"Address", "\"x\""},
        {"Address", "null"},    {"Zone", "[]"},   {"Version", "{}"},    {"Slots", "\"4\""},
        {"Slots", "0"},         {"Slots", "1.5"}, {"State", "\"up\""},  {"State", "true"},
        {"ColdMs", "\"soon\""}, {"ColdMs", "-1"}, {"Sequence", "null"}, {"Sequence", "\"3\""},
        {"born", "\"today\""},  {"born", "1.5"}};
    for (const auto &[field, value] : invalidFields) {
        const FleetRecord record = decode(Topic::Backends, "i-1", backendJson(field, value));
        cr_expect(std::holds_alternative<UnreadableRecord>(record), "%s=%s", field.c_str(),
                  value.c_str());
    }
    for (const char *value : {"{", "\xff\xfe", "[]", "7", "null"}) {
        cr_expect(std::holds_alternative<UnreadableRecord>(decode(Topic::Backends, "i", value)));
    }
}

Test(recordCodec, an_empty_value_removes_the_backend_server)
{
    cr_expect(std::holds_alternative<BackendRemoved>(decode(Topic::Backends, "i-1", "")));
}

Test(recordCodec, a_configuration_is_decoded)
{
    const FleetRecord record =
        decode(Topic::Operator, "config",
               R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"stream",
           "TimeoutMs":12000,"TargetLatencyMs":3000,"Priority":1,"Sizes":["m0","m2"],
           "Backends":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"MaxAttempts":3,
           "Public":false,"Sticky":true,"Resumable":true,"GapAimMs":800}],
           "Services":[{"Name":"s","HealthPath":"/health","MaxConns":360,"ColdS":3.0,
           "ColdPerS":8.0,"Engine":{"Slots":64,"KvCapacityTokens":1000,"Stride":5,
           "Models":[{"Name":"m0","Cost":0.5}]}}],
           "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":30,
           "IdleTimeoutMs":40},"Tenants":[{"Name":"a","ApiKeys":["k"],"Priority":2}]})");
    const auto *published = std::get_if<ConfigPublished>(&record);
    cr_assert_not_null(published);
    const RoutingConfig &config = *published->config;
    cr_expect_eq(config.version.value(), 7);
    cr_expect_eq(config.routes.at(0).services.size(), 2);
    cr_expect_eq(config.routes.at(0).gapObjective.count(), Duration(800ms).count());
    cr_expect(config.routes.at(0).retryable());
    cr_expect_eq(config.services.at(ServiceId("s")).engine->slots, 64);
    cr_expect_eq(config.limits.bodyBytes, 200);
    cr_expect_eq(config.accounts.at(0).priority.value_or(-1), 2);
}

Test(recordCodec, an_invalid_configuration_is_reported_with_its_field)
{
    const FleetRecord record =
        decode(Topic::Operator, "config",
               R"({"Version":7,"Services":[],"Routes":[{"Name":"r","Host":"h","Kind":"x"}]})");
    const auto *unreadable = std::get_if<UnreadableRecord>(&record);
    cr_assert_not_null(unreadable);
    cr_expect(unreadable->reason.find("PathPrefix") != std::string::npos, "%s",
              unreadable->reason.c_str());
}

Test(recordCodec, operator_orders_are_decoded)
{
    const FleetRecord rollout =
        decode(Topic::Operator, "rollout/s", R"({"Service":"s","Target":"v2","FinishByS":12})");
    cr_expect_eq(std::get<RolloutOrdered>(rollout).finishWithin.count(), Duration(12s).count());
    cr_expect(std::holds_alternative<RolloutWithdrawn>(decode(Topic::Operator, "rollout/s", "")));
    cr_expect(std::get<EvacuationChanged>(decode(Topic::Operator, "evacuate/d", "{}")).evacuated);
    cr_expect_not(std::get<EvacuationChanged>(decode(Topic::Operator, "evacuate/d", "")).evacuated);
}

Test(recordCodec, records_of_the_own_topic_survive_a_round_trip)
{
    const platform::PlatformRecordCodec codec;
    const RolloutStage stage{ServiceId("s"), VersionId("v2"), 3, 0.0125, true, false};
    cr_expect(std::get<RolloutStage>(codec.decode(Topic::Own, codec.encode(stage))) == stage);
    EvidenceCollected collected;
    collected.collector = InstanceId("c");
    collected.evidence = {{InstanceId("d"),
                           ServiceId("s"),
                           VersionId("v2"),
                           2,
                           {1, 2, 3, 4.5, 5},
                           {6, 7, 8, 9.5, 10}}};
    collected.evidence[0].targetCounts.answerDelays.addObserved(90ms);
    collected.evidence[0].targetCounts.answerDelays.addWaiting(5s);
    collected.evidence.push_back(collected.evidence[0]);
    collected.evidence[1].countedAfter = 400ms;
    collected.orderAges = {{ServiceId("s"), VersionId("v2"), 4500ms}};
    const FleetRecord decodedEvidence = codec.decode(Topic::Own, codec.encode(collected));
    cr_expect(std::get<EvidenceCollected>(decodedEvidence).evidence == collected.evidence);
    cr_expect(std::get<EvidenceCollected>(decodedEvidence).orderAges == collected.orderAges);
    const MemberRegistered member{InstanceId("i"), DataCentreId("d"), {"10.0.0.1", 7}, 99};
    const auto decodedMember =
        std::get<MemberRegistered>(codec.decode(Topic::Own, codec.encode(member)));
    cr_expect(decodedMember.feed == member.feed);
    const PromptPartCondemned condemned{{~std::uint64_t{0}, 3}, 99};
    cr_expect(std::get<PromptPartCondemned>(codec.decode(Topic::Own, codec.encode(condemned)))
              == condemned);
    cr_expect(std::holds_alternative<UnreadableRecord>(
        codec.decode(Topic::Own, {Offset(0), "stage/s", "{}"})));
}
