#pragma once

#include <string>
#include <vector>

#include "Feed/FeedMessages.h"
#include "Fleet/OwnRecords.h"
#include "Forward/RelayFields.h"

namespace lycheearch::compatibility {

/// One message or record of each kind that daemons exchange, with every field set. The present
/// build encodes them at a landing, and later builds must read them.
inline FeedPage samplePage()
{
    FeedPage page;
    page.topic = Topic::Backends;
    page.listing = true;
    page.page.end = Offset(8);
    page.page.era = StoreEra(3);
    page.page.records = {{Offset(7), "i-1", "{}"}, {Offset(6), "i-2", ""}};
    return page;
}

inline FeedEvidence sampleEvidence()
{
    FeedEvidence evidence;
    evidence.evidence = {
        {InstanceId("d"), ServiceId("s"), VersionId("v"), 2, {1, 2, 3, 4, 5}, {6, 7, 8, 9, 10}}};
    evidence.evidence[0].targetCounts.answerDelays.addObserved(90ms);
    evidence.evidence[0].countedAfter = 1200ms;
    return evidence;
}

inline FeedLoad sampleLoad()
{
    FeedLoad load{DataCentreId("here"),
                  {},
                  {{7, InstanceId("e2")}},
                  {},
                  {{{InstanceId("e1"), 1000}, 1.5, 3ms}}};
    RequestCrash crash;
    crash.request = 1;
    crash.server = 2;
    crash.account = 3;
    crash.parts = {4};
    crash.age = 5ms;
    crash.identity = {12, {13, 14}};
    load.crashEvidence.crashes = {crash};
    load.crashEvidence.successes = {{{6, 7}, 8ms}};
    load.crashEvidence.condemned = {{{9, 10}, 11ms}};
    load.loads[InstanceId("e1")] = {{1, 2.5, 3}, 4, 1};
    load.cutOff = {{InstanceId("d"), {ServiceId("s")}}};
    return load;
}

inline std::vector<FleetRecord> sampleRecords()
{
    EvidenceCollected collected;
    collected.collector = InstanceId("c");
    collected.evidence = sampleEvidence().evidence;
    collected.orderAges = {{ServiceId("s"), VersionId("v"), 4500ms}};
    return {MemberRegistered{
                InstanceId("i"), DataCentreId("d"), {"10.0.0.1", 7}, 99, Endpoint{"10.0.0.1", 8}},
            collected, RolloutStage{ServiceId("s"), VersionId("v"), 3, 0.25, true, false, 0.5},
            PromptPartCondemned{{~std::uint64_t{0}, 3}, 99}};
}

inline RelayedRequest sampleRelayedRequest()
{
    return {2, {InstanceId("i-1"), InstanceId("i-2")}, ConfigVersion(7)};
}

inline RelayedResponse sampleRelayedResponse()
{
    return {3, InstanceId("i-1"), true};
}

} // namespace lycheearch::compatibility
