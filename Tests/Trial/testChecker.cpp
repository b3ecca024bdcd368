#include <criterion/criterion.h>

#include "Checker.h"

using namespace lycheearch;
using namespace lycheearch::trial;

/// Changes valid evidence so that one guarantee is violated and expects the checker to report it.
namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
const std::string KeyHash(64, '0');

/// Evidence of a trial without violations: one chat and one booking, each run and billed once.
struct Fixture
{
    Fixture()
    {
        Findings findings;
        manifest =
            parseManifest("deployment: d\n"
                          "models:\n"
                          "  - { id: m, versions: [{ id: v1 }, { id: v2 }] }\n"
                          "services:\n"
                          "  - { id: s, operations: [{ name: book }] }\n"
                          "accounts:\n"
                          "  - { id: a, key_sha256: \""
                              + KeyHash + "\", models: [m], versions: [v1], services: [s] }\n",
                          "m", findings);
        cr_assert(findings.empty(), "%s", findings.text().c_str());
        evidence.manifest = &manifest;
        addRequest(CallKind::Chat, "chat", "v1");
        addRequest(CallKind::Booking, "booking", "book");
    }

    void addRequest(CallKind kind, const std::string &name, const std::string &subject)
    {
        RequestRecord record;
        record.kind = kind;
        record.account = "a";
        record.key = name;
        record.nonce = name;
        record.service = kind == CallKind::Booking ? "s" : "";
        record.answered = true;
        record.answerCorrect = true;
        record.attempts.push_back({name, "d1", 200, "", "", true, MicrosecondsPerSecond});
        evidence.records.push_back(record);
        run(name, subject, kind == CallKind::Booking ? name : "");
        bill(name);
    }

    void run(const std::string &request, const std::string &subject, const std::string &effect,
             std::int64_t at = MicrosecondsPerSecond)
    {
        evidence.journal.push_back({{"at_us", at},
                                    {"backend", "b1"},
                                    {"data_centre", "dc1"},
                                    {"request_id", request},
                                    {"subject", subject},
                                    {"effect", effect},
                                    {"in_flight", 2},
                                    {"cold", false},
                                    {"over_cold_limit", false},
                                    {"resumed_from", 0}});
    }

    void bill(const std::string &key)
    {
        evidence.ledger.add(encodeBill({RequestKey("a/" + key), AccountId("a"), RequestId(key), "x",
                                        MicroCost(1), Tokens(0), BillKind::Charge}));
    }

    /// Number of violations of the guarantee whose text starts with \p guarantee.
    std::size_t violationCount(const std::string &guarantee) const
    {
        for (const Verdict &verdict : Checker(evidence).check()) {
            if (verdict.guarantee.starts_with(guarantee)) {
                return verdict.violations.size();
            }
        }
        cr_assert_fail("no guarantee starts with: %s", guarantee.c_str());
        return 0;
    }

    Manifest manifest;
    Evidence evidence;
};

} // namespace

Test(checker, reports_no_violation_when_all_guarantees_hold)
{
    const Fixture fixture;
    for (const Verdict &verdict : Checker(fixture.evidence).check()) {
        cr_expect(verdict.violations.empty(), "%s", verdict.guarantee.c_str());
    }
}

Test(checker, reports_a_forbidden_version_and_an_unknown_request)
{
    Fixture fixture;
    fixture.run("chat", "v2", "");
    fixture.run("stranger", "v1", "");
    cr_expect_eq(fixture.violationCount("a request runs only"), 2);
}

Test(checker, reports_work_of_a_withdrawn_version_only_after_the_time_limit)
{
    Fixture fixture;
    fixture.evidence.withdrawnVersions.push_back({"v1", 0});
    cr_expect_eq(fixture.violationCount("a withdrawn version"), 0);
    fixture.run("chat", "v1", "", 8 * MicrosecondsPerSecond);
    cr_expect_eq(fixture.violationCount("a withdrawn version"), 1);
}

Test(checker, reports_a_session_that_ran_on_two_versions)
{
    Fixture fixture;
    fixture.evidence.records[0].session = "session";
    fixture.run("chat", "v2", "");
    cr_expect_eq(fixture.violationCount("a session keeps"), 1);
}

Test(checker, reports_missing_unjustified_and_unmatched_bills)
{
    Fixture missing;
    missing.evidence.ledger = Ledger();
    cr_expect_eq(missing.violationCount("each request is billed"), 2);
    Fixture unjustified;
    unjustified.evidence.records[0].answered = false;
    unjustified.evidence.records[0].attempts[0].run = "not_run";
    cr_expect_eq(unjustified.violationCount("each request is billed"), 1);
    Fixture unmatched;
    unmatched.bill("nobody");
    cr_expect_eq(unmatched.violationCount("each request is billed"), 1);
}

Test(checker, reports_requests_over_the_cold_limit)
{
    Fixture fixture;
    fixture.evidence.journal[0]["over_cold_limit"] = true;
    cr_expect_eq(fixture.violationCount("a cold backend"), 1);
}

Test(checker, reports_work_in_a_data_centre_out_of_service_and_on_a_leaving_server)
{
    Fixture fixture;
    fixture.evidence.dataCentresOutOfService.push_back({"dc1", 0});
    fixture.evidence.leavingBackends.push_back({"b1", 0});
    fixture.run("chat", "v1", "", 8 * MicrosecondsPerSecond);
    cr_expect_eq(fixture.violationCount("a data centre taken out"), 1);
    cr_expect_eq(fixture.violationCount("a departing backend"), 1);
}

Test(checker, reports_an_incomplete_or_wrong_answer)
{
    Fixture fixture;
    fixture.evidence.records[0].answerCorrect = false;
    cr_expect_eq(fixture.violationCount("every caller receives"), 1);
}

Test(checker, reports_a_false_not_run_refusal)
{
    Fixture fixture;
    fixture.evidence.records[1].attempts[0].run = "not_run";
    cr_expect_eq(fixture.violationCount("a refusal that says"), 1);
}

Test(checker, reports_a_booking_that_ran_twice)
{
    Fixture fixture;
    fixture.run("booking", "book", "booking");
    cr_expect_eq(fixture.violationCount("a non-idempotent request"), 1);
}

Test(checker, reports_a_request_aborted_by_a_graceful_stop)
{
    Fixture fixture;
    fixture.evidence.gracefulStops.push_back({"d1", 0, 2 * MicrosecondsPerSecond});
    fixture.evidence.records[0].attempts[0].status = 0;
    cr_expect_eq(fixture.violationCount("a planned stop"), 1);
}

Test(checker, reports_a_slow_change_and_a_reverted_revision)
{
    Fixture fixture;
    fixture.evidence.publishDurations = {8s};
    fixture.evidence.revisions = {{"d1", {3, 4, 2}}};
    cr_expect_eq(fixture.violationCount("an accepted manifest"), 2);
}
