#include <criterion/criterion.h>

#include "Fleet/FleetView.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const InstanceId BackendId("one");

BackendEntry report(std::int64_t startedAt, std::int64_t sequence)
{
    BackendEntry result;
    result.id = BackendId;
    result.service = ServiceId("s");
    result.address = {"10.0.0.1", 80};
    result.dataCentre = DataCentreId("d");
    result.version = VersionId("v1");
    result.startedAt = startedAt;
    result.sequence = sequence;
    return result;
}

ViewChange apply(FleetView &view, FleetRecord record, TimePoint now = Start)
{
    return view.apply({Offset(0), std::move(record)}, now);
}

ConfigPublished config(std::int64_t version)
{
    RoutingConfig published;
    published.version = ConfigVersion(version);
    return {std::make_shared<const RoutingConfig>(std::move(published))};
}

} // namespace

Test(fleetView, an_older_configuration_is_ignored)
{
    FleetView view;
    cr_expect_eq(apply(view, config(5)), ViewChange::Config);
    cr_expect_eq(apply(view, config(3)), ViewChange::Stale);
    cr_expect_eq(view.table()->version().value(), 5);
    cr_expect_eq(apply(view, config(9)), ViewChange::Config);
}

Test(fleetView, an_older_report_is_ignored)
{
    FleetView view;
    BackendEntry draining = report(1000, 7);
    draining.draining = true;
    apply(view, BackendReported{draining});
    cr_expect_eq(apply(view, BackendReported{report(1000, 6)}), ViewChange::Stale);
    cr_expect(view.backend(BackendId)->draining);
    cr_expect_eq(apply(view, BackendReported{report(900, 99)}), ViewChange::Stale);
}

Test(fleetView, a_draining_server_stays_draining_until_it_restarts)
{
    FleetView view;
    BackendEntry draining = report(1000, 7);
    draining.draining = true;
    apply(view, BackendReported{draining});
    apply(view, BackendReported{report(1000, 8)});
    cr_expect(view.backend(BackendId)->draining);
    apply(view, BackendReported{report(2000, 1)});
    cr_expect_not(view.backend(BackendId)->draining);
}

Test(fleetView, a_late_report_does_not_restore_a_removed_server)
{
    FleetView view;
    apply(view, BackendReported{report(1000, 7)});
    cr_expect_eq(apply(view, BackendRemoved{BackendId}), ViewChange::BackendRemoval);
    cr_expect_eq(apply(view, BackendReported{report(1000, 7)}), ViewChange::Stale);
    cr_expect_null(view.backend(BackendId));
    apply(view, BackendReported{report(1000, 8)});
    cr_expect_not_null(view.backend(BackendId));
}

Test(fleetView, entries_lapsed_in_an_outage_are_kept_for_the_grace_period)
{
    FleetView view;
    apply(view, BackendReported{report(1000, 7)});
    view.startLapseGrace(Start);
    apply(view, BackendRemoved{BackendId}, Start + 10ms);
    cr_expect_not_null(view.backend(BackendId));
    cr_expect(view.removeLapsed(Start + 2s).empty());
    cr_expect_eq(view.removeLapsed(Start + FleetView::LapseGrace).size(), 1);
    cr_expect_null(view.backend(BackendId));
}

Test(fleetView, a_lapsed_entry_is_kept_if_its_server_reports_again)
{
    FleetView view;
    apply(view, BackendReported{report(1000, 7)});
    view.startLapseGrace(Start);
    apply(view, BackendRemoved{BackendId}, Start + 10ms);
    apply(view, BackendReported{report(1000, 8)}, Start + 1s);
    cr_expect(view.removeLapsed(Start + 3s).empty());
    cr_expect_not_null(view.backend(BackendId));
}

Test(fleetView, a_listing_removes_the_servers_missing_from_it)
{
    FleetView view;
    apply(view, BackendReported{report(1000, 7)});
    cr_expect_eq(view.retainBackends({BackendId}, Start).size(), 0);
    cr_expect_eq(view.retainBackends({}, Start).size(), 1);
    cr_expect_null(view.backend(BackendId));
}

Test(fleetView, an_unreadable_record_does_not_affect_others)
{
    FleetView view;
    apply(view, BackendReported{report(1000, 7)});
    cr_expect_eq(apply(view, UnreadableRecord{"one", "bad"}), ViewChange::Unreadable);
    cr_expect_not_null(view.backend(BackendId));
}

Test(fleetView, a_final_stage_is_not_reverted)
{
    FleetView view;
    const ServiceId service("s");
    apply(view, RolloutStage{service, VersionId("v2"), 3, 0.05, true, false});
    cr_expect_eq(apply(view, RolloutStage{service, VersionId("v2"), 1, 0.05, false, false}),
                 ViewChange::None);
    cr_expect(view.stages().at(service).condemned);
    cr_expect_eq(view.stages().at(service).stage, 3);
}

Test(fleetView, a_data_centre_is_evacuated_and_restored)
{
    FleetView view;
    const DataCentreId dataCentreId("d");
    cr_expect_eq(apply(view, EvacuationChanged{dataCentreId, true}), ViewChange::Evacuation);
    cr_expect(view.evacuated(dataCentreId));
    cr_expect_eq(apply(view, EvacuationChanged{dataCentreId, true}), ViewChange::None);
    view.retainOrders({}, {});
    cr_expect_not(view.evacuated(dataCentreId));
}

Test(fleetView, a_cold_server_is_cold_for_the_reported_time)
{
    FleetView view;
    BackendEntry cold = report(1000, 1);
    cold.coldFor = 3s;
    apply(view, BackendReported{cold});
    cr_expect_eq((view.backend(BackendId)->coldUntil - Start).count(), Duration(3s).count());
}

Test(fleetView, the_age_of_an_order_counts_from_the_first_daemon_that_read_it)
{
    FleetView view;
    const ServiceId service("s");
    const VersionId target("v2");
    cr_expect_not(view.orderedAt(service, target).has_value());
    view.apply({Offset(0), RolloutOrdered{service, target, 24s}}, Start + 9s);
    cr_expect(view.orderedAt(service, target) == Start + 9s);
    EvidenceCollected collected{InstanceId("other"), {}, {{service, target, 8s}}};
    view.apply({Offset(1), collected}, Start + 10s);
    cr_expect(view.orderedAt(service, target) == Start + 2s);
    // Neither a lower age from a daemon that read the order later, nor an age for another target
    // changes the time.
    collected.orderAges = {{service, target, 1s}, {service, VersionId("v1"), 99s}};
    view.apply({Offset(2), collected}, Start + 11s);
    view.apply({Offset(3), RolloutOrdered{service, VersionId("v3"), 24s}}, Start + 30s);
    cr_expect(view.orderedAt(service, VersionId("v3")) == Start + 30s);
    cr_expect_not(view.orderedAt(service, target).has_value());
}
