#include <criterion/criterion.h>

#include "Routing/ColdStartGatekeeper.h"

using namespace lycheearch;

namespace {

const InstanceId Self("self");
const InstanceId Backend("cold-1");
const DataCentreId Here("here");
const StartId Start("start-1");
constexpr Duration HoldOff = 4s;
constexpr Duration Suspicion = 2s;

InstanceRecord entry(const std::string &id)
{
    InstanceRecord record;
    record.id = InstanceId(id);
    record.dataCentre = Here;
    return record;
}

InstanceRecord engine()
{
    InstanceRecord record = entry(Backend.value());
    record.kind = InstanceKind::Engine;
    record.backendClass = "c";
    return record;
}

/// A gatekeeper that is the only daemon in the instance list, or has one peer there.
struct Fixture
{
    explicit Fixture(bool withPeer = false)
        : membership(Self, StartId("s"), Here, Suspicion, {})
        , backends(Here, 5s)
        , gatekeeper(membership, backends, config, HoldOff)
    {
        std::vector<InstanceRecord> list{entry("self"), engine()};
        if (withPeer) {
            list.push_back(entry("peer"));
        }
        membership.updateList(list);
        backends.updateList(list);
    }

    void report(int inFlight, TimePoint at, const StartId &start = Start)
    {
        BackendReport report;
        report.startId = start;
        report.cold = true;
        report.inFlight = inFlight;
        backends.report(Backend, report, at);
    }

    bool takePermit(TimePoint now, const StartId &start = Start)
    {
        lastAnswer = gatekeeper.issuePermit(Backend, start, Self, now);
        return !lastAnswer.permit.empty();
    }

    ConfigStore config;
    Membership membership;
    BackendTable backends;
    ColdStartGatekeeper gatekeeper;
    PermitAnswer lastAnswer;
};

const TimePoint T0 = TimePoint() + 100s;

} // namespace

Test(coldStartGatekeeper, issues_no_permit_during_the_hold_off_and_one_at_a_time_after_it)
{
    Fixture fixture;
    fixture.report(0, T0);
    cr_expect_not(fixture.takePermit(T0));
    const TimePoint later = T0 + HoldOff;
    cr_expect_not(fixture.takePermit(later)); // No report since the end of the hold-off time.
    fixture.report(0, later + 1s);
    cr_expect(fixture.takePermit(later + 1s));
    const std::string permit = fixture.lastAnswer.permit;
    cr_expect_not(fixture.takePermit(later + 1s));
    fixture.gatekeeper.releasePermit(Backend, permit);
    cr_expect(fixture.takePermit(later + 2s));
}

Test(coldStartGatekeeper, counts_requests_in_flight_from_the_predecessor)
{
    Fixture fixture;
    fixture.report(0, T0);
    fixture.takePermit(T0);
    fixture.report(1, T0 + HoldOff + 1s);
    cr_expect_not(fixture.takePermit(T0 + HoldOff + 1s));
    fixture.report(0, T0 + HoldOff + 2s);
    cr_expect(fixture.takePermit(T0 + HoldOff + 2s));
}

Test(coldStartGatekeeper, stops_without_heartbeats_of_a_majority)
{
    Fixture fixture(true);
    HeartbeatMessage heartbeat;
    heartbeat.sender = InstanceId("peer");
    heartbeat.dataCentre = Here;
    const TimePoint late = T0 + HoldOff + Suspicion + 3s;
    for (TimePoint at = T0; at <= T0 + HoldOff + 1s; at += 1s) {
        fixture.membership.recordHeartbeat(heartbeat, at);
        fixture.gatekeeper.updateAssignments(at);
    }
    fixture.report(0, late);
    cr_expect_not(fixture.takePermit(late));
}

Test(coldStartGatekeeper, refuses_a_permit_for_another_start_of_the_server)
{
    Fixture fixture;
    fixture.report(0, T0);
    fixture.takePermit(T0);
    fixture.report(0, T0 + HoldOff + 1s, StartId("start-2"));
    cr_expect_not(fixture.takePermit(T0 + HoldOff + 1s, Start));
    cr_expect(fixture.takePermit(T0 + HoldOff + 1s, StartId("start-2")));
}
