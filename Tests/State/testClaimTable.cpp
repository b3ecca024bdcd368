#include <criterion/criterion.h>

#include "State/ClaimTable.h"

using namespace lycheearch;

namespace {

const TimePoint Now{};
const RequestKey Key("a/k");
const InstanceId Self("self");
const InstanceId Peer("peer");
const std::vector<InstanceId> BothMembers{Peer, Self};

} // namespace

Test(claimTable, a_claim_whose_roster_lacks_a_member_gets_no_consent)
{
    ClaimTable table(10s);
    const ClaimAnswer answer = table.ask({Key, ClaimId("c"), Peer, {Peer}}, BothMembers, Now);
    cr_expect_not(answer.consent);
    cr_expect(table.find(Key).phase == ClaimPhase::Absent);
}

Test(claimTable, consent_blocks_the_consenting_daemon)
{
    ClaimTable table(10s);
    cr_expect(table.ask({Key, ClaimId("c"), Peer, BothMembers}, BothMembers, Now).consent);
    cr_expect(table.begin(Key, ClaimId("mine"), Self, Now).claim == ClaimId("c"));
}

Test(claimTable, a_released_key_can_be_claimed_again_and_a_late_append_does_not_restore_the_claim)
{
    ClaimTable table(10s);
    table.begin(Key, ClaimId("one"), Self, Now);
    table.release(Key, ClaimId("one"), Now);
    cr_expect(table.begin(Key, ClaimId("two"), Self, Now).claim == ClaimId("two"));
    // The append of the first claim timed out, but takes effect now.
    table.applyLogRecord(Offset(0), {ClaimEvent::Claim, Key, ClaimId("one"), Self}, Now);
    table.applyLogRecord(Offset(1), {ClaimEvent::Claim, Key, ClaimId("two"), Self}, Now);
    cr_expect(table.logWinner(Key)->claim == ClaimId("two"));
    cr_expect_not(table.ask({Key, ClaimId("one"), Self, BothMembers}, BothMembers, Now).consent);
}

Test(claimTable, an_entry_expires_only_after_its_lifetime)
{
    ClaimTable table(10s);
    table.begin(Key, ClaimId("one"), Self, Now);
    table.expire(Now + 9s);
    cr_expect_eq(table.size(), 1);
    table.expire(Now + 11s);
    cr_expect_eq(table.size(), 0);
}

Test(claimTable, merge_adds_the_claims_of_peers)
{
    ClaimTable table(10s);
    table.merge({{Key, ClaimId("c"), Peer, ClaimPhase::Held}}, Now);
    cr_expect(table.begin(Key, ClaimId("mine"), Self, Now).owner == Peer);
}
