#include <criterion/criterion.h>

#include "Routing/BackendPicker.h"

using namespace lycheearch;

namespace {

const DataCentreId Here("here");
const DataCentreId There("there");
const ServiceId Engines("engines");
const ServiceId Desk("desk");
const TimePoint Start = TimePoint() + 100s;

void add(FleetView &view, const std::string &id, const ServiceId &service,
         const DataCentreId &dataCentre, Duration coldFor = Duration::zero())
{
    BackendEntry report;
    report.id = InstanceId(id);
    report.service = service;
    report.address = {"10.0.0.1", 80};
    report.dataCentre = dataCentre;
    report.version = VersionId("v1");
    report.slots = 6;
    report.coldFor = coldFor;
    view.apply({Offset(0), BackendReported{report}}, Start);
}

FleetView engineFleet(int count)
{
    FleetView view;
    for (int i = 0; i < count; ++i) {
        add(view, "e" + std::to_string(i), Engines, i % 2 == 0 ? Here : There);
    }
    return view;
}

PickRequest promptRequest(std::uint64_t affinity)
{
    PickRequest request;
    request.service = Engines;
    request.engine = true;
    request.prompt = {affinity, 17'000, 13'000, 1};
    return request;
}

std::optional<Pick> pick(BackendPicker &picker, const PickRequest &request, const FleetView &view,
                         TimePoint now = Start)
{
    PickFault fault = PickFault::None;
    return picker.pick(request, view, now, fault);
}

void send(BackendPicker &picker, const char *id, const PickRequest &request, TimePoint now = Start)
{
    Pick pick;
    pick.backend = InstanceId(id);
    picker.onSent(pick, request, now);
}

} // namespace

Test(backendPicker, all_daemons_send_a_shared_prefix_to_one_server)
{
    const FleetView view = engineFleet(9);
    BackendPicker here(InstanceId("one"), Here);
    BackendPicker there(InstanceId("two"), There);
    std::set<InstanceId> chosenBackends;
    for (std::uint64_t affinity = 1; affinity < 60; ++affinity) {
        const auto one = pick(here, promptRequest(affinity), view);
        const auto other = pick(there, promptRequest(affinity), view);
        cr_assert(one && other);
        cr_expect(one->backend == other->backend);
        chosenBackends.insert(one->backend);
    }
    cr_expect(chosenBackends.size() >= 7, "%zu servers were chosen", chosenBackends.size());
}

Test(backendPicker, a_hot_prefix_spreads_once_waiting_costs_more_than_prefill)
{
    const FleetView view = engineFleet(9);
    BackendPicker picker(InstanceId("self"), Here);
    std::map<InstanceId, int> sent;
    for (int i = 0; i < 40; ++i) {
        const PickRequest request = promptRequest(7);
        const auto chosen = pick(picker, request, view);
        picker.onSent(*chosen, request, Start);
        ++sent[chosen->backend];
    }
    cr_expect(sent.size() >= 4, "%zu", sent.size());
    for (const auto &[id, count] : sent) {
        cr_expect(count <= 12, "%s got %d", id.value().c_str(), count);
    }
}

Test(backendPicker, answered_requests_no_longer_count_as_backlog)
{
    const FleetView view = engineFleet(9);
    BackendPicker picker(InstanceId("self"), Here);
    const PickRequest request = promptRequest(7);
    const InstanceId first = pick(picker, request, view)->backend;
    for (int i = 0; i < 20; ++i) {
        const auto chosen = pick(picker, request, view);
        cr_expect(chosen->backend == first);
        picker.onSent(*chosen, request, Start);
        picker.onFirstByte(chosen->backend, 0, chosen->prefillTokens, Start);
        picker.onEnded(chosen->backend, SendOutcome::Served, 0, 0, Start);
    }
}

Test(backendPicker, a_plain_request_prefers_its_data_centre_until_it_is_loaded)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    int near = 0;
    for (int i = 0; i < 10; ++i) {
        const auto chosen = pick(picker, request, view);
        picker.onSent(*chosen, request, Start);
        near += chosen->backend == InstanceId("near") ? 1 : 0;
    }
    cr_expect(near >= 5 && near < 10, "%d", near);
}

Test(backendPicker, an_unreachable_server_is_excluded_with_growing_backoff)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    TimePoint now = Start;
    Duration previousBackoff{};
    for (int i = 0; i < 4; ++i) {
        send(picker, "near", request, now);
        picker.onEnded(InstanceId("near"), SendOutcome::Unreachable, 0, 0, now);
        const TimePoint since = now;
        while (pick(picker, request, view, now)->backend != InstanceId("near")) {
            now += 10ms;
        }
        cr_expect(now - since > previousBackoff);
        previousBackoff = now - since;
    }
}

Test(backendPicker, the_last_server_is_never_excluded)
{
    FleetView view;
    add(view, "near", Desk, Here);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    send(picker, "near", request, Start);
    picker.onEnded(InstanceId("near"), SendOutcome::Unreachable, 0, 0, Start);
    cr_expect(pick(picker, request, view).has_value());
}

Test(backendPicker, a_server_with_the_failure_rate_of_the_others_is_not_excluded)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    for (int i = 0; i < 60; ++i) {
        for (const char *id : {"near", "far"}) {
            send(picker, id, request);
            picker.onEnded(InstanceId(id),
                           i % 7 == 0 ? SendOutcome::ServerFailed : SendOutcome::Served, 0, 0,
                           Start);
        }
    }
    cr_expect(pick(picker, request, view)->backend == InstanceId("near"));
}

Test(backendPicker, a_server_that_fails_more_than_the_others_is_excluded)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    for (int i = 0; i < 20; ++i) {
        send(picker, "near", request, Start);
        picker.onEnded(InstanceId("near"), SendOutcome::Broken, 0, 0, Start);
        send(picker, "far", request, Start);
        picker.onEnded(InstanceId("far"), SendOutcome::Served, 0, 0, Start);
    }
    cr_expect(pick(picker, request, view)->backend == InstanceId("far"));
}

Test(backendPicker, evacuated_and_tried_servers_are_not_chosen)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    view.apply({Offset(1), EvacuationChanged{Here, true}}, Start);
    cr_expect(pick(picker, request, view)->backend == InstanceId("far"));
    request.disallowedBackends = {InstanceId("far")};
    cr_expect_not(pick(picker, request, view).has_value());
}

Test(backendPicker, all_daemons_together_keep_the_rate_limit_of_a_cold_server)
{
    constexpr double Bound = 8 * 1.5 + 5;
    for (const int daemons : {1, 3, 8, 20, 76}) {
        FleetView view;
        add(view, "cold", Engines, Here, 20s);
        std::vector<BackendPicker> pickers;
        for (int i = 0; i < daemons; ++i) {
            pickers.emplace_back(InstanceId("d" + std::to_string(i)), Here);
            pickers.back().rateLimiter().setColdLimits(Engines, {Bound, daemons});
        }
        std::deque<TimePoint> sends;
        std::size_t maxPerSecond = 0;
        std::size_t totalSends = 0;
        for (TimePoint now = Start; now < Start + 10s; now += 5ms) {
            // Each daemon has more requests than the rate limit of the server.
            BackendPicker &picker =
                pickers[static_cast<std::size_t>((now - Start) / 5ms) % pickers.size()];
            const PickRequest request = promptRequest(3);
            if (const auto chosen = pick(picker, request, view, now)) {
                picker.onSent(*chosen, request, now);
                sends.push_back(now);
                ++totalSends;
            }
            while (!sends.empty() && sends.front() <= now - Duration(1s)) {
                sends.pop_front();
            }
            maxPerSecond = std::max(maxPerSecond, sends.size());
        }
        cr_expect(static_cast<double>(maxPerSecond) <= Bound,
                  "%d daemons: %zu requests in a second", daemons, maxPerSecond);
        cr_expect(totalSends > 20, "%d daemons: %zu requests in ten seconds", daemons, totalSends);
    }
}

Test(backendPicker, load_reported_by_other_daemons_changes_the_choice)
{
    const FleetView view = engineFleet(9);
    BackendPicker picker(InstanceId("self"), Here);
    const PickRequest request = promptRequest(7);
    const InstanceId first = pick(picker, request, view)->backend;
    BackendLoads others;
    others[first].tokens = {60'000, 0, 0};
    others[first].requests = 4;
    picker.setOtherDaemonsLoads(others, Start);
    cr_expect(pick(picker, request, view)->backend != first);
    // Old load reports are ignored.
    cr_expect(pick(picker, request, view, Start + 5s)->backend == first);
}

Test(backendPicker, less_urgent_work_hardly_delays_a_request)
{
    const FleetView view = engineFleet(9);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request = promptRequest(7);
    const InstanceId first = pick(picker, request, view)->backend;
    BackendLoads others;
    others[first].tokens = {0, 0, 30'000};
    picker.setOtherDaemonsLoads(others, Start);
    cr_expect(pick(picker, request, view)->backend == first);
    request.urgency = 2;
    cr_expect(pick(picker, request, view)->backend != first);
}

Test(backendPicker, a_server_that_other_daemons_cannot_reach_is_excluded)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    BackendLoads others;
    others[InstanceId("near")].unreachable = 3;
    picker.setOtherDaemonsLoads(others, Start);
    cr_expect(pick(picker, request, view)->backend == InstanceId("far"));
    // A recent answer to this daemon takes precedence over reports of others.
    picker.onFirstByte(InstanceId("near"), 0, 0, Start);
    cr_expect(pick(picker, request, view)->backend == InstanceId("near"));
}

Test(backendPicker, a_crashed_server_is_excluded_after_one_reset)
{
    FleetView view;
    add(view, "near", Desk, Here);
    add(view, "far", Desk, There);
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    send(picker, "near", request, Start);
    picker.onEnded(InstanceId("near"), SendOutcome::Reset, 0, 0, Start);
    cr_expect(pick(picker, request, view)->backend == InstanceId("far"));
    cr_expect_eq(picker.ownLoads(Start)[InstanceId("near")].unreachable, 1);
}

Test(backendPicker, an_unresponsive_data_centre_is_excluded_as_a_whole)
{
    FleetView view;
    add(view, "near", Desk, Here);
    for (const char *id : {"far1", "far2", "far3"}) {
        add(view, id, Desk, There);
    }
    BackendPicker picker(InstanceId("self"), Here);
    PickRequest request;
    request.service = Desk;
    for (const char *id : {"far1", "far2"}) {
        pick(picker, request, view);
        send(picker, id, request);
        picker.onEnded(InstanceId(id), SendOutcome::Silent, 0, 0, Start);
    }
    // Even a busy local server is preferred to far3, which has not failed itself.
    for (int i = 0; i < 20; ++i) {
        const auto chosen = pick(picker, request, view);
        cr_expect(chosen->backend == InstanceId("near"));
        picker.onSent(*chosen, request, Start);
    }
    // If only servers of that data centre remain, no server is chosen until the exclusion ends.
    request.disallowedBackends = {InstanceId("near")};
    PickFault fault = PickFault::None;
    cr_expect_not(picker.pick(request, view, Start, fault).has_value());
    cr_expect_eq(fault, PickFault::AllSilent);
    cr_expect(pick(picker, request, view, Start + 5s).has_value());
    request.disallowedBackends.clear();
    // One answer from there ends the exclusion of all its servers.
    picker.onFirstByte(InstanceId("far3"), 0, 0, Start);
    cr_expect(pick(picker, request, view)->backend == InstanceId("far3"));
}

Test(backendPicker, a_new_version_uses_as_many_servers_as_its_share_allows)
{
    BackendPicker picker(InstanceId("d1"), Here);
    FleetView view = engineFleet(20);
    PickRequest request = promptRequest(0);
    request.versions.mode = VersionRule::Mode::Only;
    request.versions.version = VersionId("v1");
    request.versions.serverShare = 0.09;
    std::set<InstanceId> usedInAllRotations;
    for (std::uint64_t rotation = 0; rotation < 40; ++rotation) {
        request.versions.rotation = rotation;
        std::set<InstanceId> used;
        for (std::uint64_t prompt = 1; prompt <= 30; ++prompt) {
            request.prompt.affinity = prompt;
            used.insert(pick(picker, request, view)->backend);
        }
        cr_expect_leq(used.size(), 2);
        usedInAllRotations.insert(used.begin(), used.end());
    }
    cr_expect_geq(usedInAllRotations.size(), 18);
}

Test(backendPicker, servers_that_only_a_cut_off_daemon_loses_stay_in_use_at_the_others)
{
    const FleetView view = engineFleet(6);
    BackendPicker cutOff(InstanceId("one"), Here);
    const PickRequest request = promptRequest(1);
    for (int i = 0; i < 6; ++i) {
        const auto chosen = pick(cutOff, request, view);
        cr_assert(chosen);
        cutOff.onSent(*chosen, request, Start);
        cutOff.onEnded(chosen->backend, SendOutcome::Unreachable, 0, 0, Start);
    }
    int unreachable = 0;
    for (const auto &[id, load] : cutOff.ownLoads(Start + 100ms)) {
        unreachable += load.unreachable;
    }
    cr_expect_eq(unreachable, 0, "%d servers were reported as unreachable", unreachable);
}
