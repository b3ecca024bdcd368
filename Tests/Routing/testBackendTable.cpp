#include <criterion/criterion.h>

#include "Routing/BackendTable.h"

using namespace lycheearch;

namespace {

const DataCentreId Here("here");
const DataCentreId There("there");
const VersionId Version("v");
const TimePoint Now = TimePoint() + 100s;

InstanceRecord engine(const std::string &id, const DataCentreId &dataCentre)
{
    InstanceRecord record;
    record.id = InstanceId(id);
    record.kind = InstanceKind::Engine;
    record.dataCentre = dataCentre;
    return record;
}

struct Fixture
{
    Fixture()
        : table(Here, 5s)
    {
        list = {engine("near", Here), engine("far", There)};
        table.updateList(list);
        report("near");
        report("far");
    }

    void report(const std::string &id, bool cold = false, int inFlight = 0)
    {
        BackendReport report;
        report.startId = StartId("s");
        report.cold = cold;
        report.inFlight = inFlight;
        report.versions = {Version};
        table.report(InstanceId(id), report, Now);
    }

    std::string choose(TimePoint now = Now, const std::set<InstanceId> &excluded = {})
    {
        const auto choice = table.choose({Version, {}, ""}, config, excluded, now, failure);
        return choice ? choice->target.instance.value() : "";
    }

    std::vector<InstanceRecord> list;
    BackendTable table;
    ConfigState config;
    ChoiceFailure failure = ChoiceFailure::None;
};

} // namespace

Test(backendTable, prefers_the_local_data_centre_and_spills_over)
{
    Fixture fixture;
    cr_expect_str_eq(fixture.choose().c_str(), "near");
    cr_expect_str_eq(fixture.choose().c_str(), "far");
}

Test(backendTable, a_data_centre_or_instance_out_of_service_is_not_chosen)
{
    Fixture fixture;
    fixture.config.dataCentres[Here] = {true, Revision(1), false};
    cr_expect_str_eq(fixture.choose().c_str(), "far");
    fixture.config.instances[InstanceId("far")] = {true, Revision(2), false};
    cr_expect_str_eq(fixture.choose().c_str(), "");
    cr_expect(fixture.failure == ChoiceFailure::NoServer);
}

Test(backendTable, a_leaving_server_is_not_chosen)
{
    Fixture fixture;
    fixture.list[0].leaving = true;
    fixture.table.updateList(fixture.list);
    cr_expect_str_eq(fixture.choose().c_str(), "far");
}

Test(backendTable, a_server_with_an_expired_report_is_not_chosen)
{
    Fixture fixture;
    cr_expect_str_eq(fixture.choose(Now + 6s).c_str(), "");
}

Test(backendTable, a_cold_server_is_the_last_choice_and_needs_a_permit)
{
    Fixture fixture;
    fixture.report("near", true);
    cr_expect_str_eq(fixture.choose().c_str(), "far");
    fixture.report("far", true);
    const auto choice =
        fixture.table.choose({Version, {}, ""}, fixture.config, {}, Now, fixture.failure);
    cr_assert(choice);
    cr_expect(choice->needsPermit);
    cr_expect_str_eq(choice->target.instance.value().c_str(), "near");
}

Test(backendTable, an_excluded_server_is_used_where_there_is_no_other)
{
    Fixture fixture;
    cr_expect_str_eq(fixture.choose(Now, {InstanceId("near")}).c_str(), "far");
    fixture.table.markUnknown(InstanceId("far"));
    cr_expect_str_eq(fixture.choose(Now, {InstanceId("near")}).c_str(), "near");
}

Test(backendTable, ejection_leaves_half_of_a_pool_in_service)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        for (const char *id : {"near", "far"}) {
            fixture.table.release(InstanceId(id), BackendResult::Failed, 1ms, Now);
        }
    }
    int ejected = 0;
    for (const BackendView &view : fixture.table.views()) {
        ejected += view.ejectedUntil > Now ? 1 : 0;
    }
    cr_expect_eq(ejected, 1);
}

Test(backendTable, a_peer_report_of_another_start_takes_a_server_out_of_service)
{
    Fixture fixture;
    fixture.table.applyPeerLoadReport({InstanceId("near"), StartId("s2"), true, 0, 0ms}, Now + 1s);
    cr_expect_str_eq(fixture.choose(Now + 1s).c_str(), "far");
}
