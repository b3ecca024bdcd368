#include <criterion/criterion.h>

#include <map>

#include "Base/Hash.h"
#include "Routing/PeerSelector.h"

using namespace lycheearch;

namespace {

const DataCentreId Here("here");
const ServiceId Desk("desk");
const ServiceId Engines("engines");
const TimePoint Start = TimePoint() + 100s;
const InstanceId Self("here-0");

std::vector<MemberRegistered> fleet(int dataCentres, int daemonsEach)
{
    std::vector<MemberRegistered> members;
    for (int i = 0; i < dataCentres; ++i) {
        const std::string dataCentre = i == 0 ? "here" : "there" + std::to_string(i);
        for (int j = 0; j < daemonsEach; ++j) {
            members.push_back({InstanceId(dataCentre + "-" + std::to_string(j)),
                               DataCentreId(dataCentre),
                               {},
                               0,
                               Endpoint{"127.0.0.1", 1}});
        }
    }
    return members;
}

std::vector<CutOffDaemon> cutOff(const std::vector<MemberRegistered> &members,
                                 const DataCentreId &dataCentre, const ServiceId &service)
{
    std::vector<CutOffDaemon> daemons;
    for (const MemberRegistered &member : members) {
        if (member.dataCentre == dataCentre) {
            daemons.push_back({member.instance, {service}});
        }
    }
    return daemons;
}

} // namespace

Test(peerSelector, a_data_centre_that_is_cut_off_spreads_its_requests_over_all_others)
{
    // Each daemon of the data centre has 20 requests in flight, as seen from each by itself.
    constexpr int daemons = 39;
    constexpr int requestsEach = 20;
    const auto members = fleet(5, daemons);
    std::map<InstanceId, int> load;
    for (int i = 0; i < daemons; ++i) {
        PeerSelector selector(InstanceId("here-" + std::to_string(i)), Here);
        selector.setMembers(members);
        selector.setCutOff(cutOff(members, Here, Desk), Start);
        for (int j = 0; j < requestsEach; ++j) {
            const auto hash = stableHash(std::to_string(i) + "/" + std::to_string(j));
            const auto peer = selector.choose(Desk, {}, hash, Start);
            cr_assert(peer);
            cr_expect(peer->dataCentre != Here);
            selector.onSent(peer->instance);
            ++load[peer->instance];
        }
    }
    // The mean is five.
    for (const auto &[peer, requests] : load) {
        cr_expect_leq(requests, 20, "%s has %d requests", peer.value().c_str(), requests);
    }
    cr_expect_geq(load.size(), 150);
}

Test(peerSelector, the_last_sound_daemon_of_a_data_centre_does_not_get_all_requests)
{
    const auto members = fleet(3, 3);
    PeerSelector selector(Self, Here);
    selector.setMembers(members);
    selector.setCutOff({{Self, {Desk}}, {InstanceId("here-1"), {Desk}}}, Start);
    std::map<InstanceId, int> load;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const auto peer = selector.choose(Desk, {}, mixBits(i), Start);
        cr_assert(peer);
        selector.onSent(peer->instance);
        ++load[peer->instance];
    }
    cr_expect(load.begin()->first == InstanceId("here-2"));
    cr_expect_leq(load[InstanceId("here-2")], 14);
    cr_expect_eq(load.size(), 7);
}

Test(peerSelector, a_daemon_that_lost_another_service_is_a_peer)
{
    const auto members = fleet(1, 2);
    PeerSelector selector(Self, Here);
    selector.setMembers(members);
    selector.setCutOff({{InstanceId("here-1"), {Engines}}}, Start);
    cr_expect(selector.choose(Desk, {}, 1, Start));
    cr_expect_not(selector.choose(Engines, {}, 1, Start));
    cr_expect(selector.choose(Engines, {}, 1, Start + 3s), "the news has expired");
}

Test(peerSelector, a_peer_that_declined_or_was_lost_is_not_asked_for_a_while)
{
    const auto members = fleet(1, 2);
    const InstanceId peer("here-1");
    for (const PeerOutcome outcome : {PeerOutcome::Declined, PeerOutcome::Lost}) {
        PeerSelector selector(Self, Here);
        selector.setMembers(members);
        selector.onSent(peer);
        selector.onEnded(peer, outcome, Start);
        cr_expect_not(selector.choose(Desk, {}, 1, Start + 400ms));
        cr_expect(selector.choose(Desk, {}, 1, Start + 1100ms));
        cr_expect_not(selector.choose(Desk, {peer}, 1, Start + 1100ms));
    }
}
