#include <criterion/criterion.h>

#include "State/Membership.h"

using namespace lycheearch;

namespace {

constexpr Duration Suspicion = 2s;
constexpr Duration Period = 500ms;
const InstanceId Peer("p1");

/// A daemon that exchanged heartbeats with one peer until \c now.
struct Fixture
{
    Fixture()
        : membership(InstanceId("self"), StartId("s"), DataCentreId("here"), Suspicion, {})
    {
        HeartbeatMessage heartbeat;
        heartbeat.sender = Peer;
        heartbeat.startId = StartId("p");
        heartbeat.dataCentre = DataCentreId("here");
        membership.recordHeartbeat(heartbeat, now);
        membership.recordExchange(now);
    }

    Membership membership;
    TimePoint now = TimePoint() + 100s;
};

} // namespace

Test(membership, a_pause_of_this_process_does_not_make_its_peers_suspects)
{
    Fixture test;
    test.now += 5 * Suspicion;
    cr_expect(test.membership.isAlive(Peer, test.now));
    cr_expect_eq(test.membership.aliveIds(test.now).size(), 2);
}

Test(membership, a_peer_that_is_silent_in_the_exchange_after_a_pause_is_a_suspect)
{
    Fixture test;
    test.now += 5 * Suspicion;
    test.membership.recordExchange(test.now);
    cr_expect_not(test.membership.isAlive(Peer, test.now));
}

Test(membership, a_silent_peer_is_a_suspect_after_the_timeout_while_exchanges_go_on)
{
    Fixture test;
    const TimePoint end = test.now + Suspicion;
    while (test.now < end) {
        test.now += Period;
        test.membership.recordExchange(test.now);
    }
    cr_expect(test.membership.isAlive(Peer, test.now));
    cr_expect_not(test.membership.isAlive(Peer, test.now + Duration(1ms)));
}
