#include <criterion/criterion.h>

#include "Checker.h"

using namespace lycheearch;
using namespace lycheearch::trial;

/// Changes valid evidence so that one guarantee is violated and expects the checker to report it.
namespace {

constexpr std::int64_t Second = 1'000'000;
const std::string Sha(64, '0');

/// Evidence of a trial without violations: one chat and one booking, each run and billed once.
struct Fixture
{
    Fixture()
    {
        Findings findings;
        manifest = parseManifest("deployment: d\n"
                                 "models:\n"
                                 "  - { id: m, versions: [{ id: v1 }, { id: v2 }] }\n"
                                 "services:\n"
                                 "  - { id: s, operations: [{ name: book }] }\n"
                                 "accounts:\n"
                                 "  - { id: a, key_sha256: \""
                                     + Sha + "\", models: [m], versions: [v1], services: [s] }\n",
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
        record.whole = true;
        record.attempts.push_back({name, "d1", 200, "", "", true, Second});
        evidence.records.push_back(record);
        run(name, subject, kind == CallKind::Booking ? name : "");
        bill(name);
    }

    void run(const std::string &request, const std::string &subject, const std::string &effect,
             std::int64_t at = Second)
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
    std::size_t broken(const std::string &promise) const
    {
        for (const Verdict &verdict : Checker(evidence).judge()) {
            if (verdict.promise.starts_with(promise)) {
                return verdict.violations.size();
            }
        }
        cr_assert_fail("no guarantee starts with: %s", promise.c_str());
        return 0;
    }

    Manifest manifest;
    Evidence evidence;
};

} // namespace

Test(checker, finds_nothing_where_all_promises_held)
{
    const Fixture fixture;
    for (const Verdict &verdict : Checker(fixture.evidence).judge()) {
        cr_expect(verdict.violations.empty(), "%s", verdict.promise.c_str());
    }
}

Test(checker, sees_a_forbidden_version_and_work_that_nobody_asked_for)
{
    Fixture fixture;
    fixture.run("chat", "v2", "");
    fixture.run("stranger", "v1", "");
    cr_expect_eq(fixture.broken("a request runs only"), 2);
}

Test(checker, sees_work_of_a_withdrawn_version_after_the_limit_only)
{
    Fixture fixture;
    fixture.evidence.withdrawnVersions.push_back({"v1", 0});
    cr_expect_eq(fixture.broken("a withdrawn version"), 0);
    fixture.run("chat", "v1", "", 8 * Second);
    cr_expect_eq(fixture.broken("a withdrawn version"), 1);
}

Test(checker, sees_a_session_on_two_versions)
{
    Fixture fixture;
    fixture.evidence.records[0].session = "session";
    fixture.run("chat", "v2", "");
    cr_expect_eq(fixture.broken("a session keeps"), 1);
}

Test(checker, sees_missing_needless_and_strange_bills)
{
    Fixture missing;
    missing.evidence.ledger = Ledger();
    cr_expect_eq(missing.broken("each request is billed"), 2);
    Fixture needless;
    needless.evidence.records[0].answered = false;
    needless.evidence.records[0].attempts[0].run = "not_run";
    cr_expect_eq(needless.broken("each request is billed"), 1);
    Fixture strange;
    strange.bill("nobody");
    cr_expect_eq(strange.broken("each request is billed"), 1);
}

Test(checker, sees_too_much_load_in_cold_start)
{
    Fixture fixture;
    fixture.evidence.journal[0]["over_cold_limit"] = true;
    cr_expect_eq(fixture.broken("a cold backend"), 1);
}

Test(checker, sees_work_in_a_data_centre_that_is_out_and_on_a_departing_server)
{
    Fixture fixture;
    fixture.evidence.dataCentresOut.push_back({"dc1", 0});
    fixture.evidence.backendsLeaving.push_back({"b1", 0});
    fixture.run("chat", "v1", "", 8 * Second);
    cr_expect_eq(fixture.broken("a data centre taken out"), 1);
    cr_expect_eq(fixture.broken("a departing backend"), 1);
}

Test(checker, sees_a_cut_or_crossed_answer)
{
    Fixture fixture;
    fixture.evidence.records[0].whole = false;
    cr_expect_eq(fixture.broken("every caller receives"), 1);
}

Test(checker, sees_a_lie_about_not_run)
{
    Fixture fixture;
    fixture.evidence.records[1].attempts[0].run = "not_run";
    cr_expect_eq(fixture.broken("a refusal that says"), 1);
}

Test(checker, sees_a_booking_that_ran_twice)
{
    Fixture fixture;
    fixture.run("booking", "book", "booking");
    cr_expect_eq(fixture.broken("a non-idempotent request"), 1);
}

Test(checker, sees_a_request_cut_off_by_a_planned_stop)
{
    Fixture fixture;
    fixture.evidence.plannedStops.push_back({"d1", 0, 2 * Second});
    fixture.evidence.records[0].attempts[0].status = 0;
    cr_expect_eq(fixture.broken("a planned stop"), 1);
}

Test(checker, sees_a_slow_change_and_a_revision_that_went_back)
{
    Fixture fixture;
    fixture.evidence.publishTimes = {8s};
    fixture.evidence.revisions = {{"d1", {3, 4, 2}}};
    cr_expect_eq(fixture.broken("an accepted manifest"), 2);
}
