#include <criterion/criterion.h>

#include "Config/ConfigRecord.h"
#include "Mocks.h"
#include "Request/GenerationRunner.h"
#include "Request/ServiceRunner.h"

// What a failure says on whether the request ran covers all of its attempts, not only the last.

using namespace lycheearch;

namespace {

const DataCentreId Here("here");
const AccountId Account("a");
const ServiceId Desk("desk");
const VersionId Version("v1");

const std::string ManifestText =
    "deployment: d\n"
    "models:\n"
    "  - id: m\n"
    "    versions:\n"
    "      - { id: v1, rank: 1 }\n"
    "services:\n"
    "  - id: desk\n"
    "    operations:\n"
    "      - { name: lookup, idempotent: true, timeout_ms: 1000 }\n"
    "accounts:\n"
    "  - id: a\n"
    "    key_sha256: "
    "1e6744ecbc9d550f07cbfc8bb61d982bd2f1213ad13d6ad0fe4afe7df2bf30d4\n"
    "    models: [m]\n"
    "    services: [desk]\n";

Failure lost()
{
    return makeFailure(Errc::BackendBroken, "lost", RunState::Unknown);
}

Failure refused()
{
    return makeFailure(Errc::BackendOverloaded, "refused");
}

/// A service that loses the connection of the first call and refuses the others.
class LosingService : public PlainService
{
public:
    Result<BackendReport> report(const Endpoint &) override { return BackendReport(); }
    Result<std::string> call(const BackendTarget &, const ServiceCall &, TimePoint) override
    {
        return m_calls++ == 0 ? lost() : refused();
    }

private:
    std::atomic<int> m_calls = 0;
};

/// An engine that does the same, without a token.
class LosingEngine : public ModelEngine
{
public:
    Result<BackendReport> report(const Endpoint &) override { return BackendReport(); }
    EngineOutcome generate(const BackendTarget &, const EngineRequest &, DeltaSink &,
                           TimePoint) override
    {
        EngineOutcome outcome;
        outcome.failure = m_calls++ == 0 ? lost() : refused();
        return outcome;
    }
    Status order(const Endpoint &, const EngineOrder &) override { return std::nullopt; }

private:
    int m_calls = 0;
};

struct Fixture
{
    Fixture()
        : membership(InstanceId("self"), StartId("s"), Here, 1s, {})
        , table(Here, 1000s)
        , gatekeeper(membership, table, config, 0s)
        , admission(table, gatekeeper, network, membership, config, 10, clock)
        , timeline(InstanceId("self"), 100, hybridClock, clock)
    {
        ConfigRecord record;
        record.type = ConfigRecordType::Manifest;
        record.operation = OperationId("one");
        record.text = ManifestText;
        cr_assert(config.applyRecords({{Offset(0), encodeConfigRecord(record)}}, clock.now()));
        cr_assert_not_null(config.current()->manifest);
        std::vector<InstanceRecord> servers;
        for (const char *id : {"d1", "d2"}) {
            servers.push_back({InstanceId(id), InstanceKind::Service, Here, {}, {}, "", Desk});
        }
        for (const char *id : {"e1", "e2"}) {
            servers.push_back({InstanceId(id), InstanceKind::Engine, Here, {}, {}, "", {}});
        }
        table.updateList(servers);
        for (const InstanceRecord &server : servers) {
            BackendReport report;
            report.startId = StartId("s");
            report.versions = {Version};
            table.report(server.id, report, clock.now());
        }
        context.request.id = RequestId("q");
        context.request.service = Desk;
        context.request.operation = OperationName("lookup");
        context.request.deadline = clock.now() + 2s;
        context.account.id = Account;
        context.operation.idempotent = true;
        context.operation.timeout = 1s;
    }

    SystemClock clock;
    HybridClock hybridClock;
    MockPeerNetwork network;
    Membership membership;
    ConfigStore config;
    BackendTable table;
    ColdStartGatekeeper gatekeeper;
    BackendAdmission admission;
    RetryBudget budget;
    Timeline timeline;
    Metrics metrics;
    RequestContext context;
};

} // namespace

Test(runState, the_gravest_state_of_several_attempts_counts)
{
    cr_expect(gravest(RunState::NotRun, RunState::NotRun) == RunState::NotRun);
    cr_expect(gravest(RunState::Unknown, RunState::NotRun) == RunState::Unknown);
    cr_expect(gravest(RunState::NotRun, RunState::Unknown) == RunState::Unknown);
    cr_expect(gravest(RunState::Ran, RunState::Unknown) == RunState::Ran);
    cr_expect(gravest(RunState::NotRun, RunState::Ran) == RunState::Ran);
}

// Guards against "not run" for a call that was lost at one server and refused by the next.
Test(runState, a_call_that_was_lost_once_is_not_reported_as_not_run, .timeout = 20)
{
    Fixture fixture;
    LosingService service;
    ServiceRunner runner(service, fixture.admission, fixture.table, fixture.config, fixture.budget,
                         fixture.timeline, fixture.metrics, fixture.clock);
    const Result<std::string> result = runner.run(fixture.context);
    cr_assert_not(result.ok());
    cr_expect(result.failure().run == RunState::Unknown, "%s", result.failure().message.c_str());
}

// The same for a generation.
Test(runState, a_generation_that_was_lost_once_is_not_reported_as_not_run, .timeout = 20)
{
    Fixture fixture;
    LosingEngine engine;
    VersionStats stats;
    GenerationRunner runner(engine, fixture.admission, fixture.table, fixture.config, stats,
                            fixture.budget, fixture.timeline, fixture.metrics, fixture.clock);
    const Generation generation = runner.run(fixture.context, Version, nullptr);
    cr_assert(generation.failure.has_value());
    cr_expect(generation.failure->run == RunState::Unknown, "%s",
              generation.failure->message.c_str());
}
