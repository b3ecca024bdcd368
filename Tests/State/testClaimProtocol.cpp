#include <criterion/criterion.h>

#include "Mocks.h"
#include "State/ClaimProtocol.h"

using namespace lycheearch;
using trompeloeil::_;

namespace {

const RequestKey Key("a/k");

InstanceRecord entry(const std::string &id)
{
    InstanceRecord record;
    record.id = InstanceId(id);
    return record;
}

struct Fixture
{
    Fixture()
        : membership(InstanceId("self"), StartId("s"), DataCentreId("here"), 2s, {})
        , claimTable(600s)
        , logDown(
              NAMED_ALLOW_CALL(log, append(_, _)).RETURN(makeFailure(Errc::LogUnavailable, "down")))
        , appender(log, Streams::Claims, 100)
        , protocol(claimTable, appender, network, membership, 200ms, clock)
    {
        membership.updateList({entry("self"), entry("p1"), entry("p2")});
    }

    ClaimOutcome acquire() { return protocol.acquire(Key, clock.time + 10s, clock.time); }

    ManualClock clock;
    MockLogService log;
    MockPeerNetwork network;
    Membership membership;
    SharedClaimTable claimTable;
    std::unique_ptr<trompeloeil::expectation> logDown;
    StreamAppender appender;
    ClaimProtocol protocol;
};

using Answers = std::vector<Result<ClaimAnswer>>;

Result<ClaimAnswer> consent(bool given)
{
    ClaimAnswer answer;
    answer.consent = given;
    return answer;
}

} // namespace

Test(claimProtocol, a_daemon_without_the_claims_of_its_peers_claims_nothing)
{
    Fixture fixture;
    const ClaimOutcome outcome = fixture.acquire();
    cr_expect(outcome.kind == ClaimOutcome::Kind::Refused);
    cr_expect(outcome.failure->run == RunState::NotRun);
}

Test(claimProtocol, without_the_log_all_peers_must_consent)
{
    Fixture fixture;
    fixture.claimTable.setComplete();
    REQUIRE_CALL(fixture.network, requestClaimConsent(_, _))
        .WITH(_1.size() == 2 && _2.roster.size() == 3)
        .RETURN(Answers{consent(true), consent(true)});
    const ClaimOutcome outcome = fixture.acquire();
    cr_expect(outcome.kind == ClaimOutcome::Kind::Granted);
    cr_expect(outcome.grantedByPeers);
}

Test(claimProtocol, one_refused_consent_fails_and_releases_the_claim_everywhere)
{
    Fixture fixture;
    fixture.claimTable.setComplete();
    REQUIRE_CALL(fixture.network, requestClaimConsent(_, _))
        .RETURN(Answers{consent(true), consent(false)});
    REQUIRE_CALL(fixture.network, releaseClaim(_, Key, _)).WITH(_1.size() == 2);
    const ClaimOutcome outcome = fixture.acquire();
    cr_expect(outcome.kind == ClaimOutcome::Kind::Refused);
    cr_expect(outcome.failure->retryAfter > Duration::zero());
    cr_expect(fixture.claimTable.find(Key).phase == ClaimPhase::Released);
}

Test(claimProtocol, one_unreachable_peer_fails_the_claim)
{
    Fixture fixture;
    fixture.claimTable.setComplete();
    REQUIRE_CALL(fixture.network, requestClaimConsent(_, _))
        .RETURN(Answers{consent(true),
                        Result<ClaimAnswer>(makeFailure(Errc::PeerUnavailable, "silent"))});
    ALLOW_CALL(fixture.network, releaseClaim(_, _, _));
    cr_expect(fixture.acquire().kind == ClaimOutcome::Kind::Refused);
}
