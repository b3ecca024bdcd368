#include <criterion/criterion.h>

#include "Routing/Planner.h"

using namespace lycheearch;

namespace {

const ModelId Model("m");
const TaskClass Class("t");
const VersionId Cheap("cheap");
const VersionId Strong("strong");
const VersionId Fresh("fresh");

ConfigState makeConfig(const std::string &freshState = "withdrawn")
{
    Findings findings;
    ConfigState config;
    config.manifest = std::make_shared<Manifest>(
        parseManifest("deployment: d\n"
                      "quality_target: 0.9\n"
                      "models:\n"
                      "  - id: m\n"
                      "    versions:\n"
                      "      - { id: cheap, rank: 1, cost_per_request: 10 }\n"
                      "      - { id: strong, rank: 3, cost_per_request: 100 }\n"
                      "      - { id: fresh, rank: 2, cost_per_request: 20, share: 0.5, state: "
                          + freshState + ", replaces: cheap }\n",
                      "m", findings));
    cr_assert(findings.empty(), "%s", findings.text().c_str());
    return config;
}

AccountSpec makeAccount()
{
    AccountSpec account;
    account.id = AccountId("a");
    account.models = {Model};
    return account;
}

void rate(VersionStats &stats, const VersionId &version, int good, int bad)
{
    for (int i = 0; i < good + bad; ++i) {
        stats.recordAnswer(Class, version, Tokens(10), 10ms);
        stats.recordRating(Class, version, i < good);
    }
}

PlanRequest makeRequest(const ConfigState &config, const AccountSpec &account)
{
    return {config, account, Model, Class, false, true, 10s, 0.5, {Cheap, Strong, Fresh}};
}

} // namespace

Test(planner, a_cheap_version_that_meets_the_target_runs_alone)
{
    VersionStats stats;
    rate(stats, Cheap, 490, 10);
    rate(stats, Strong, 100, 0);
    const ConfigState config = makeConfig();
    const AccountSpec account = makeAccount();
    const auto plan = Planner(stats, SuspectVersions()).plan(makeRequest(config, account));
    cr_assert(plan.ok());
    cr_expect(plan.value().kind == PlanKind::Single);
    cr_expect(plan.value().versions == std::vector<VersionId>{Cheap});
}

Test(planner, a_cheap_version_below_the_target_starts_a_cascade)
{
    VersionStats stats;
    rate(stats, Cheap, 400, 100);
    rate(stats, Strong, 100, 0);
    const ConfigState config = makeConfig();
    const AccountSpec account = makeAccount();
    const auto plan = Planner(stats, SuspectVersions()).plan(makeRequest(config, account));
    cr_expect(plan.value().kind == PlanKind::Cascade);
    cr_expect((plan.value().versions == std::vector<VersionId>{Cheap, Strong}));
}

Test(planner, without_ratings_there_is_no_cascade_and_no_canary)
{
    VersionStats stats;
    rate(stats, Cheap, 400, 100);
    const ConfigState config = makeConfig("canary");
    const AccountSpec account = makeAccount();
    PlanRequest request = makeRequest(config, account);
    request.ratingHealthy = false;
    request.samplePoint = 0.0;
    const auto plan = Planner(stats, SuspectVersions()).plan(request);
    cr_expect(plan.value().versions == std::vector<VersionId>{Strong});
}

Test(planner, a_session_gets_one_version)
{
    VersionStats stats;
    rate(stats, Cheap, 400, 100);
    const ConfigState config = makeConfig();
    const AccountSpec account = makeAccount();
    PlanRequest request = makeRequest(config, account);
    request.inSession = true;
    cr_expect_eq(Planner(stats, SuspectVersions()).plan(request).value().versions.size(), 1);
}

Test(planner, a_slow_cascade_is_not_planned_for_a_short_deadline)
{
    VersionStats stats;
    rate(stats, Cheap, 400, 100);
    for (int i = 0; i < 100; ++i) {
        stats.recordAnswer(Class, Cheap, Tokens(10), 5s);
        stats.recordAnswer(Class, Strong, Tokens(10), 50ms);
    }
    const ConfigState config = makeConfig();
    const AccountSpec account = makeAccount();
    PlanRequest request = makeRequest(config, account);
    request.timeLeft = 500ms;
    cr_expect(Planner(stats, SuspectVersions()).plan(request).value().versions
              == std::vector<VersionId>{Strong});
}

Test(planner, an_account_gets_only_its_versions)
{
    VersionStats stats;
    rate(stats, Cheap, 500, 0);
    const ConfigState config = makeConfig();
    AccountSpec account = makeAccount();
    account.versions = {Strong};
    cr_expect(Planner(stats, SuspectVersions()).plan(makeRequest(config, account)).value().versions
              == std::vector<VersionId>{Strong});
    account.models.clear();
    const auto refused = Planner(stats, SuspectVersions()).plan(makeRequest(config, account));
    cr_assert_not(refused.ok());
    cr_expect(refused.failure().code == Errc::AccountForbidsModel);
    cr_expect(refused.failure().run == RunState::NotRun);
}

Test(planner, a_canary_starts_small_and_falls_back_to_the_replaced_version)
{
    VersionStats stats;
    const ConfigState config = makeConfig("canary");
    const AccountSpec account = makeAccount();
    PlanRequest request = makeRequest(config, account);
    request.samplePoint = 0.005;
    const auto plan = Planner(stats, SuspectVersions()).plan(request);
    cr_expect(plan.value().kind == PlanKind::Canary);
    cr_expect((plan.value().versions == std::vector<VersionId>{Fresh, Cheap}));
    request.samplePoint = 0.02;
    cr_expect(Planner(stats, SuspectVersions()).plan(request).value().kind != PlanKind::Canary);
}

Test(planner, the_share_of_a_canary_grows_with_its_ratings)
{
    const VersionSpec canary{Fresh, Model, VersionState::Canary, 0.5, Cheap, {}, {}, 2};
    cr_expect_float_eq(Planner::canaryShare(canary, 0), 0.01, 1e-9);
    cr_expect_float_eq(Planner::canaryShare(canary, 50), 0.05, 1e-9);
    cr_expect_float_eq(Planner::canaryShare(canary, 500), 0.5, 1e-9);
}

Test(planner, a_stopped_version_is_not_planned)
{
    VersionStats stats;
    rate(stats, Cheap, 500, 0);
    ConfigState config = makeConfig();
    config.stoppedVersions[Cheap] = "bad";
    const AccountSpec account = makeAccount();
    cr_expect(Planner(stats, SuspectVersions()).plan(makeRequest(config, account)).value().versions
              == std::vector<VersionId>{Strong});
}

Test(planner, a_suspect_version_runs_only_in_a_cascade)
{
    VersionStats stats;
    rate(stats, Cheap, 490, 10);
    rate(stats, Strong, 100, 0);
    SuspectVersions suspects;
    suspects.set(Cheap, true);
    const ConfigState config = makeConfig();
    const AccountSpec account = makeAccount();
    const auto plan = Planner(stats, suspects).plan(makeRequest(config, account));
    cr_expect(plan.value().kind == PlanKind::Cascade);
}
