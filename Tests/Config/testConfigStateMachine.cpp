#include <criterion/criterion.h>

#include "Config/ConfigStateMachine.h"

using namespace lycheearch;

namespace {

const std::string ManifestA = "deployment: a\n";
const std::string ManifestB = "deployment: b\n";

std::string manifestRecord(const std::string &operation, std::int64_t base, const std::string &text)
{
    ConfigRecord record;
    record.type = ConfigRecordType::Manifest;
    record.operation = OperationId(operation);
    record.base = Revision(base);
    record.text = text;
    return encodeConfigRecord(record);
}

ConfigRecord outOfServiceRecord(const std::string &operation, bool out, std::int64_t base = 0)
{
    ConfigRecord record;
    record.type = ConfigRecordType::DataCentre;
    record.operation = OperationId(operation);
    record.subject = "rec-a";
    record.out = out;
    record.base = Revision(base);
    return record;
}

std::string deploymentOf(const ConfigStateMachine &stateMachine)
{
    return stateMachine.state()->manifest->deployment;
}

} // namespace

Test(configStateMachine, of_two_concurrent_manifests_exactly_one_is_accepted)
{
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    stateMachine.apply(Offset(1), manifestRecord("two", 0, ManifestB));
    cr_expect(deploymentOf(stateMachine) == "a");
    const OperationOutcome outcome = stateMachine.state()->outcomes.at(OperationId("two"));
    cr_expect_not(outcome.accepted);
    cr_expect(outcome.reason.find("revision 1 is in force") != std::string::npos);
}

Test(configStateMachine, a_retried_operation_is_applied_once)
{
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    stateMachine.apply(Offset(1), manifestRecord("one", 0, ManifestA));
    cr_expect(stateMachine.state()->outcomes.at(OperationId("one")).accepted);
    cr_expect_eq(stateMachine.state()->manifestRevision.value(), 1);
}

Test(configStateMachine, a_malformed_manifest_leaves_the_old_one_in_force)
{
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    stateMachine.apply(Offset(1), manifestRecord("two", 1, "deployment: [\n"));
    stateMachine.apply(Offset(2), "not a record at all");
    cr_expect(deploymentOf(stateMachine) == "a");
    cr_expect_eq(stateMachine.state()->revision.value(), 3);
}

Test(configStateMachine, the_revision_never_decreases)
{
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    stateMachine.apply(Offset(1), manifestRecord("two", 1, ManifestB));
    cr_expect_not(stateMachine.apply(Offset(0), manifestRecord("old", 0, ManifestA)));
    cr_expect(deploymentOf(stateMachine) == "b");
}

Test(configStateMachine, a_snapshot_restores_the_state_after_a_gap)
{
    ConfigStateMachine writer;
    writer.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    writer.apply(Offset(1), encodeConfigRecord(outOfServiceRecord("two", true)));
    ConfigRecord snapshot;
    snapshot.type = ConfigRecordType::Snapshot;
    snapshot.operation = OperationId("snap");
    snapshot.text = writer.encodeSnapshot();

    ConfigStateMachine reader;
    cr_expect_not(reader.apply(Offset(1), encodeConfigRecord(outOfServiceRecord("two", true))));
    cr_expect(reader.apply(Offset(5), encodeConfigRecord(snapshot)));
    cr_expect_eq(reader.nextOffset().value(), 2);
    cr_expect(reader.state()->isOutOfService(DataCentreId("rec-a")));
    cr_expect(reader.encodeSnapshot() == writer.encodeSnapshot());
}

Test(configStateMachine, a_record_with_an_outdated_base_is_rejected)
{
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), encodeConfigRecord(outOfServiceRecord("out", true)));
    // The writer had applied revision 1 only, without the record that returned the data centre to
    // service.
    stateMachine.apply(Offset(1), encodeConfigRecord(outOfServiceRecord("in", false)));
    stateMachine.apply(Offset(2), encodeConfigRecord(outOfServiceRecord("late", true, 1)));
    cr_expect_not(stateMachine.state()->isOutOfService(DataCentreId("rec-a")));
    cr_expect_not(stateMachine.state()->outcomes.at(OperationId("late")).accepted);
}

Test(configStateMachine, a_provisional_record_is_in_force_before_it_is_in_the_log)
{
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    cr_expect(stateMachine.applyProvisional(outOfServiceRecord("out", true, 1)));
    cr_expect(stateMachine.state()->isOutOfService(DataCentreId("rec-a")));
    stateMachine.apply(Offset(1), encodeConfigRecord(outOfServiceRecord("out", true, 1)));
    cr_expect(stateMachine.state()->isOutOfService(DataCentreId("rec-a")));
    cr_expect_not(stateMachine.state()->dataCentres.at(DataCentreId("rec-a")).provisional);
}

Test(configStateMachine, a_record_with_newer_validation_rules_is_rejected)
{
    ConfigRecord record = outOfServiceRecord("new", true);
    record.validationVersion = ConfigStateMachine::HighestValidationVersion + 1;
    ConfigStateMachine stateMachine;
    stateMachine.apply(Offset(0), encodeConfigRecord(record));
    cr_expect_not(stateMachine.state()->isOutOfService(DataCentreId("rec-a")));
    cr_expect_not(stateMachine.state()->outcomes.at(OperationId("new")).accepted);
}
