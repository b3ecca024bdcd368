#include <criterion/criterion.h>

#include "Config/ConfigFold.h"

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

ConfigRecord outRecord(const std::string &operation, bool out, std::int64_t base = 0)
{
    ConfigRecord record;
    record.type = ConfigRecordType::DataCentre;
    record.operation = OperationId(operation);
    record.subject = "rec-a";
    record.out = out;
    record.base = Revision(base);
    return record;
}

std::string deploymentOf(const ConfigFold &fold)
{
    return fold.state()->manifest->deployment;
}

} // namespace

Test(configFold, of_two_racing_manifests_exactly_one_is_accepted)
{
    ConfigFold fold;
    fold.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    fold.apply(Offset(1), manifestRecord("two", 0, ManifestB));
    cr_expect(deploymentOf(fold) == "a");
    const FoldOutcome outcome = fold.state()->outcomes.at(OperationId("two"));
    cr_expect_not(outcome.accepted);
    cr_expect(outcome.reason.find("revision 1 is in force") != std::string::npos);
}

Test(configFold, a_repeat_of_an_operation_is_folded_away)
{
    ConfigFold fold;
    fold.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    fold.apply(Offset(1), manifestRecord("one", 0, ManifestA));
    cr_expect(fold.state()->outcomes.at(OperationId("one")).accepted);
    cr_expect_eq(fold.state()->manifestRevision.value(), 1);
}

Test(configFold, a_malformed_manifest_leaves_the_old_one_in_force)
{
    ConfigFold fold;
    fold.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    fold.apply(Offset(1), manifestRecord("two", 1, "deployment: [\n"));
    fold.apply(Offset(2), "not a record at all");
    cr_expect(deploymentOf(fold) == "a");
    cr_expect_eq(fold.state()->revision.value(), 3);
}

Test(configFold, the_revision_never_goes_back)
{
    ConfigFold fold;
    fold.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    fold.apply(Offset(1), manifestRecord("two", 1, ManifestB));
    cr_expect_not(fold.apply(Offset(0), manifestRecord("old", 0, ManifestA)));
    cr_expect(deploymentOf(fold) == "b");
}

Test(configFold, a_gap_is_not_folded_but_a_snapshot_bridges_it)
{
    ConfigFold writer;
    writer.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    writer.apply(Offset(1), encodeConfigRecord(outRecord("two", true)));
    ConfigRecord snapshot;
    snapshot.type = ConfigRecordType::Snapshot;
    snapshot.operation = OperationId("snap");
    snapshot.text = writer.encodeSnapshot();

    ConfigFold reader;
    cr_expect_not(reader.apply(Offset(1), encodeConfigRecord(outRecord("two", true))));
    cr_expect(reader.apply(Offset(5), encodeConfigRecord(snapshot)));
    cr_expect_eq(reader.nextOffset().value(), 2);
    cr_expect(reader.state()->isOut(DataCentreId("rec-a")));
    cr_expect(reader.encodeSnapshot() == writer.encodeSnapshot());
}

Test(configFold, a_provisional_record_does_not_override_a_later_one)
{
    ConfigFold fold;
    fold.apply(Offset(0), encodeConfigRecord(outRecord("out", true)));
    // Written at revision 1, appended after another operator returned the data centre to service.
    fold.apply(Offset(1), encodeConfigRecord(outRecord("in", false)));
    fold.apply(Offset(2), encodeConfigRecord(outRecord("late", true, 1)));
    cr_expect_not(fold.state()->isOut(DataCentreId("rec-a")));
    cr_expect_not(fold.state()->outcomes.at(OperationId("late")).accepted);
}

Test(configFold, a_provisional_record_is_in_force_until_the_log_has_it)
{
    ConfigFold fold;
    fold.apply(Offset(0), manifestRecord("one", 0, ManifestA));
    cr_expect(fold.applyProvisional(outRecord("out", true, 1)));
    cr_expect(fold.state()->isOut(DataCentreId("rec-a")));
    fold.apply(Offset(1), encodeConfigRecord(outRecord("out", true, 1)));
    cr_expect(fold.state()->isOut(DataCentreId("rec-a")));
    cr_expect_not(fold.state()->dataCentres.at(DataCentreId("rec-a")).provisional);
}

Test(configFold, a_record_of_newer_rules_is_refused_by_all_alike)
{
    ConfigRecord record = outRecord("new", true);
    record.validation = ConfigFold::NewestValidation + 1;
    ConfigFold fold;
    fold.apply(Offset(0), encodeConfigRecord(record));
    cr_expect_not(fold.state()->isOut(DataCentreId("rec-a")));
    cr_expect_not(fold.state()->outcomes.at(OperationId("new")).accepted);
}
