#include <criterion/criterion.h>

#include "Mocks.h"
#include "State/Billing.h"

using namespace lycheearch;
using trompeloeil::_;

namespace {

const InstanceId Self("self");

ExchangeMessage heartbeat(const std::string &id, const std::string &start)
{
    ExchangeMessage message;
    message.sender = InstanceId(id);
    message.startId = StartId(start);
    message.dataCentre = DataCentreId(id);
    return message;
}

BillRecord bill(const std::string &key)
{
    BillRecord record;
    record.key = RequestKey(key);
    return record;
}

using Kept = Result<std::vector<KeptRecord>>;

std::vector<Kept> bothKeep()
{
    const Kept nothingPresent{std::vector<KeptRecord>()};
    return {nothingPresent, nothingPresent};
}

struct Fixture
{
    Fixture()
        : roster(Self, StartId("s1"), DataCentreId("here"), 2s, {})
        , kept(100, 60s)
        , billing(log, network, roster, kept, 10, clock)
    {
    }

    void hearPeers()
    {
        roster.heard(heartbeat("p1", "a"), clock.time);
        roster.heard(heartbeat("p2", "b"), clock.time);
    }

    FixedClock clock;
    MockLogService log;
    MockPeerNetwork network;
    Roster roster;
    KeptStore kept;
    Billing billing;
};

} // namespace

Test(billing, a_bill_is_copied_to_two_peers_and_the_copies_are_dropped_after_the_append)
{
    Fixture fixture;
    fixture.hearPeers();
    REQUIRE_CALL(fixture.network, keepAll(_, _))
        .WITH(_1.size() == 2 && _2.back().ownerStart == StartId("s1"))
        .RETURN(bothKeep());
    cr_expect(fixture.billing.record(bill("k"), {}, fixture.clock.time));
    cr_expect_eq(fixture.billing.pending(), 1);
    REQUIRE_CALL(fixture.log, append(Streams::Billing, _)).RETURN(Offset(0));
    REQUIRE_CALL(fixture.network, dropKept(_, KeptKind::Bill, _)).TIMES(2).RETURN(Status());
    cr_expect(fixture.billing.flush(fixture.clock.time));
    cr_expect_eq(fixture.billing.pending(), 0);
}

Test(billing, without_peers_the_answer_waits_for_the_log)
{
    Fixture fixture;
    ALLOW_CALL(fixture.network, keepAll(_, _)).RETURN(std::vector<Kept>());
    REQUIRE_CALL(fixture.log, append(Streams::Billing, _)).RETURN(Offset(0));
    cr_expect(fixture.billing.record(bill("k"), {}, fixture.clock.time));
    cr_expect_eq(fixture.billing.pending(), 0);
}

Test(billing, an_uncertain_append_is_made_again)
{
    Fixture fixture;
    fixture.hearPeers();
    ALLOW_CALL(fixture.network, keepAll(_, _)).RETURN(bothKeep());
    ALLOW_CALL(fixture.network, dropKept(_, _, _)).RETURN(Status());
    fixture.billing.record(bill("k"), {}, fixture.clock.time);
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.log, append(_, _))
        .IN_SEQUENCE(order)
        .RETURN(makeFailure(Errc::LogUncertain, "lost", RunState::Unknown));
    REQUIRE_CALL(fixture.log, append(_, _)).IN_SEQUENCE(order).RETURN(Offset(5));
    cr_expect_not(fixture.billing.flush(fixture.clock.time));
    cr_expect(fixture.billing.flush(fixture.clock.time));
}

Test(billing, bills_of_a_run_are_taken_over_when_its_name_is_alive_again)
{
    Fixture fixture;
    fixture.hearPeers();
    fixture.kept.put({{KeptKind::Bill, "k", InstanceId("p1"), "data", StartId("a")}},
                     fixture.clock.time);
    fixture.clock.time += 6s;
    fixture.roster.heard(heartbeat("p1", "a2"), fixture.clock.time);
    REQUIRE_CALL(fixture.log, append(Streams::Billing, std::vector<std::string>{"data"}))
        .RETURN(Offset(0));
    fixture.billing.takeOver(fixture.clock.time);
    cr_expect_eq(fixture.kept.size(KeptKind::Bill), 0);
}

Test(billing, bills_of_a_live_run_are_left_to_it)
{
    Fixture fixture;
    fixture.kept.put({{KeptKind::Bill, "k", InstanceId("p1"), "data", StartId("a")}},
                     fixture.clock.time);
    fixture.clock.time += 6s;
    fixture.hearPeers();
    FORBID_CALL(fixture.log, append(_, _));
    fixture.billing.takeOver(fixture.clock.time);
}

Test(billing, a_full_buffer_has_no_room)
{
    Fixture fixture;
    fixture.hearPeers();
    ALLOW_CALL(fixture.network, keepAll(_, _)).RETURN(bothKeep());
    for (int i = 0; i < 10; ++i) {
        cr_expect(fixture.billing.hasRoom());
        fixture.billing.record(bill(std::to_string(i)), {}, fixture.clock.time);
    }
    cr_expect_not(fixture.billing.hasRoom());
}

Test(billing, a_keeper_out_of_reach_is_told_later_to_drop_its_copy)
{
    Fixture fixture;
    fixture.hearPeers();
    ALLOW_CALL(fixture.network, keepAll(_, _)).RETURN(bothKeep());
    ALLOW_CALL(fixture.log, append(_, _)).RETURN(Offset(0));
    fixture.billing.record(bill("k"), {}, fixture.clock.time);
    {
        REQUIRE_CALL(fixture.network, dropKept(_, _, _))
            .TIMES(2)
            .RETURN(Status(makeFailure(Errc::PeerUnavailable, "cut")));
        fixture.billing.flush(fixture.clock.time);
    }
    REQUIRE_CALL(fixture.network, dropKept(_, _, std::vector<std::string>{"k"}))
        .TIMES(2)
        .RETURN(Status());
    fixture.billing.flush(fixture.clock.time);
    fixture.billing.flush(fixture.clock.time);
}

Test(billing, a_keeper_whose_answer_was_lost_is_told_to_drop_its_copy)
{
    Fixture fixture;
    fixture.hearPeers();
    const Kept lost{makeFailure(Errc::PeerUnavailable, "late")};
    ALLOW_CALL(fixture.network, keepAll(_, _)).RETURN(std::vector<Kept>(_1.size(), lost));
    ALLOW_CALL(fixture.log, append(_, _)).RETURN(Offset(0));
    REQUIRE_CALL(fixture.network, dropKept(_, _, _)).TIMES(2).RETURN(Status());
    fixture.billing.record(bill("k"), {}, fixture.clock.time);
}
