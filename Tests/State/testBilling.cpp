#include <criterion/criterion.h>

#include "Mocks.h"
#include "State/Billing.h"

using namespace lycheearch;
using trompeloeil::_;

namespace {

const InstanceId Self("self");

HeartbeatMessage heartbeat(const std::string &id, const std::string &start)
{
    HeartbeatMessage message;
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

using KeepResult = Result<std::vector<KeptRecord>>;

std::vector<KeepResult> bothConfirm()
{
    const KeepResult nothingPresent{std::vector<KeptRecord>()};
    return {nothingPresent, nothingPresent};
}

struct Fixture
{
    Fixture()
        : membership(Self, StartId("s1"), DataCentreId("here"), 2s, {})
        , replicas(100, 60s)
        , billing(log, network, membership, replicas, 10, clock)
    {
    }

    void receiveHeartbeats()
    {
        membership.recordHeartbeat(heartbeat("p1", "a"), clock.time);
        membership.recordHeartbeat(heartbeat("p2", "b"), clock.time);
    }

    ManualClock clock;
    MockLogService log;
    MockPeerNetwork network;
    Membership membership;
    ReplicaStore replicas;
    Billing billing;
};

} // namespace

Test(billing, a_bill_is_replicated_to_two_peers_and_the_replicas_are_deleted_after_the_append)
{
    Fixture fixture;
    fixture.receiveHeartbeats();
    REQUIRE_CALL(fixture.network, storeReplicasAtAll(_, _))
        .WITH(_1.size() == 2 && _2.back().ownerStart == StartId("s1"))
        .RETURN(bothConfirm());
    cr_expect(fixture.billing.record(bill("k"), {}, fixture.clock.time));
    cr_expect_eq(fixture.billing.pending(), 1);
    REQUIRE_CALL(fixture.log, append(Streams::Billing, _)).RETURN(Offset(0));
    REQUIRE_CALL(fixture.network, deleteReplicas(_, KeptKind::Bill, _)).TIMES(2).RETURN(Status());
    cr_expect(fixture.billing.flush(fixture.clock.time));
    cr_expect_eq(fixture.billing.pending(), 0);
}

Test(billing, without_peers_record_waits_for_the_append)
{
    Fixture fixture;
    ALLOW_CALL(fixture.network, storeReplicasAtAll(_, _)).RETURN(std::vector<KeepResult>());
    REQUIRE_CALL(fixture.log, append(Streams::Billing, _)).RETURN(Offset(0));
    cr_expect(fixture.billing.record(bill("k"), {}, fixture.clock.time));
    cr_expect_eq(fixture.billing.pending(), 0);
}

Test(billing, an_uncertain_append_is_retried)
{
    Fixture fixture;
    fixture.receiveHeartbeats();
    ALLOW_CALL(fixture.network, storeReplicasAtAll(_, _)).RETURN(bothConfirm());
    ALLOW_CALL(fixture.network, deleteReplicas(_, _, _)).RETURN(Status());
    fixture.billing.record(bill("k"), {}, fixture.clock.time);
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.log, append(_, _))
        .IN_SEQUENCE(order)
        .RETURN(makeFailure(Errc::LogUncertain, "lost", RunState::Unknown));
    REQUIRE_CALL(fixture.log, append(_, _)).IN_SEQUENCE(order).RETURN(Offset(5));
    cr_expect_not(fixture.billing.flush(fixture.clock.time));
    cr_expect(fixture.billing.flush(fixture.clock.time));
}

Test(billing, bills_of_a_dead_process_are_appended_after_the_daemon_restarts)
{
    Fixture fixture;
    fixture.receiveHeartbeats();
    fixture.replicas.put({{KeptKind::Bill, "k", InstanceId("p1"), "data", StartId("a")}},
                         fixture.clock.time);
    fixture.clock.time += 6s;
    fixture.membership.recordHeartbeat(heartbeat("p1", "a2"), fixture.clock.time);
    REQUIRE_CALL(fixture.log, append(Streams::Billing, std::vector<std::string>{"data"}))
        .RETURN(Offset(0));
    fixture.billing.appendOrphanedBills(fixture.clock.time);
    cr_expect_eq(fixture.replicas.size(KeptKind::Bill), 0);
}

Test(billing, bills_of_a_live_process_are_not_appended)
{
    Fixture fixture;
    fixture.replicas.put({{KeptKind::Bill, "k", InstanceId("p1"), "data", StartId("a")}},
                         fixture.clock.time);
    fixture.clock.time += 6s;
    fixture.receiveHeartbeats();
    FORBID_CALL(fixture.log, append(_, _));
    fixture.billing.appendOrphanedBills(fixture.clock.time);
}

Test(billing, a_full_buffer_has_no_capacity)
{
    Fixture fixture;
    fixture.receiveHeartbeats();
    ALLOW_CALL(fixture.network, storeReplicasAtAll(_, _)).RETURN(bothConfirm());
    for (int i = 0; i < 10; ++i) {
        cr_expect(fixture.billing.hasCapacity());
        fixture.billing.record(bill(std::to_string(i)), {}, fixture.clock.time);
    }
    cr_expect_not(fixture.billing.hasCapacity());
}

Test(billing, dropping_a_replica_is_retried_if_its_holder_is_unreachable)
{
    Fixture fixture;
    fixture.receiveHeartbeats();
    ALLOW_CALL(fixture.network, storeReplicasAtAll(_, _)).RETURN(bothConfirm());
    ALLOW_CALL(fixture.log, append(_, _)).RETURN(Offset(0));
    fixture.billing.record(bill("k"), {}, fixture.clock.time);
    {
        REQUIRE_CALL(fixture.network, deleteReplicas(_, _, _))
            .TIMES(2)
            .RETURN(Status(makeFailure(Errc::PeerUnavailable, "cut")));
        fixture.billing.flush(fixture.clock.time);
    }
    REQUIRE_CALL(fixture.network, deleteReplicas(_, _, std::vector<std::string>{"k"}))
        .TIMES(2)
        .RETURN(Status());
    fixture.billing.flush(fixture.clock.time);
    fixture.billing.flush(fixture.clock.time);
}

Test(billing, a_replica_is_dropped_even_if_its_confirmation_was_lost)
{
    Fixture fixture;
    fixture.receiveHeartbeats();
    const KeepResult lost{makeFailure(Errc::PeerUnavailable, "late")};
    ALLOW_CALL(fixture.network, storeReplicasAtAll(_, _))
        .RETURN(std::vector<KeepResult>(_1.size(), lost));
    ALLOW_CALL(fixture.log, append(_, _)).RETURN(Offset(0));
    REQUIRE_CALL(fixture.network, deleteReplicas(_, _, _)).TIMES(2).RETURN(Status());
    fixture.billing.record(bill("k"), {}, fixture.clock.time);
}
