#include <criterion/criterion.h>

#include "Routing/OrderLease.h"
#include "Routing/Reconciler.h"

using namespace lycheearch;

namespace {

const DataCentreId Here("here");
const TimePoint T0 = TimePoint() + 100s;

OrderLease lease(const std::string &name)
{
    return {Here, InstanceId(name), StartId(name + "-1")};
}

ConfigState configWith(const std::string &versions)
{
    Findings findings;
    ConfigState config;
    config.manifest = std::make_shared<Manifest>(
        parseManifest("deployment: d\nmodels: [{ id: m, versions: [" + versions
                          + "] }]\nbackend_classes: [{ name: c, version_slots: 2 }]\n",
                      "m", findings));
    cr_assert(findings.empty(), "%s", findings.text().c_str());
    return config;
}

BackendView engine(const std::string &id, const std::set<VersionId> &versions)
{
    BackendView view;
    view.instance.id = InstanceId(id);
    view.instance.kind = InstanceKind::Engine;
    view.instance.dataCentre = Here;
    view.instance.backendClass = "c";
    view.versions = versions;
    view.known = true;
    return view;
}

} // namespace

Test(orderLease, of_two_concurrent_acquisitions_one_succeeds)
{
    OrderLease first = lease("a");
    OrderLease second = lease("b");
    const auto firstRecord = first.recordToAppend(T0);
    const auto secondRecord = second.recordToAppend(T0);
    cr_assert(firstRecord && secondRecord);
    for (OrderLease *contender : {&first, &second}) {
        contender->applyRecord(Offset(0), *secondRecord, T0 + 1s);
        contender->applyRecord(Offset(1), *firstRecord, T0 + 1s);
    }
    cr_expect(second.holds(T0 + 1s));
    cr_expect_not(first.holds(T0 + 1s));
    cr_expect_eq(second.fencingToken().value(), 0);
}

Test(orderLease, a_holder_stops_before_a_challenger_may_start)
{
    OrderLease holder = lease("a");
    OrderLease challenger = lease("b");
    const auto record = holder.recordToAppend(T0);
    holder.applyRecord(Offset(0), *record, T0 + 100ms);
    challenger.applyRecord(Offset(0), *record, T0 + 100ms);
    for (Duration passed{}; passed < 20s; passed += 100ms) {
        const bool held = holder.holds(T0 + passed);
        OrderLease probe = challenger;
        cr_expect_not(held && probe.recordToAppend(T0 + passed).has_value());
    }
    cr_expect(challenger.recordToAppend(T0 + OrderLease::Term + 100ms).has_value());
}

Test(orderLease, a_renewal_keeps_the_fencing_token_and_a_restart_does_not_inherit_the_lease)
{
    OrderLease holder = lease("a");
    holder.applyRecord(Offset(0), *holder.recordToAppend(T0), T0);
    holder.applyRecord(Offset(7), *holder.recordToAppend(T0 + 3s), T0 + 3s);
    cr_expect(holder.holds(T0 + 7s));
    cr_expect_eq(holder.fencingToken().value(), 0);
    OrderLease restarted(Here, InstanceId("a"), StartId("a-2"));
    restarted.applyRecord(Offset(0), {Here, InstanceId("a"), StartId("a-1"), Offset(-1)}, T0 + 4s);
    cr_expect_not(restarted.holds(T0 + 4s));
}

Test(reconciler, loads_missing_replicas_before_it_unloads_withdrawn_ones)
{
    const ConfigState config = configWith("{ id: old, state: withdrawn, replicas: 1 }, "
                                          "{ id: new, replicas: 1 }");
    const Reconciler reconciler(Here);
    const VersionId newVersion("new");
    const VersionId old("old");
    auto order = reconciler.next(config, {engine("e1", {old}), engine("e2", {old})});
    cr_assert(order);
    cr_expect(order->kind == OrderKind::Load && order->version == newVersion);
    order = reconciler.next(config, {engine("e1", {old, newVersion}), engine("e2", {old})});
    cr_assert(order);
    cr_expect(order->kind == OrderKind::Unload && order->version == old);
    cr_expect_not(reconciler.next(config, {engine("e1", {newVersion}), engine("e2", {})}));
}

Test(reconciler, unloads_nothing_from_busy_engines_and_no_unknown_versions)
{
    const ConfigState config = configWith("{ id: old, state: withdrawn, replicas: 1 }");
    BackendView busy = engine("e1", {VersionId("old")});
    busy.reportedInFlight = 1;
    cr_expect_not(Reconciler(Here).next(config, {busy, engine("e2", {VersionId("foreign")})}));
}
