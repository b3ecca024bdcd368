#include <criterion/criterion.h>

#include "Routing/RequestFamilies.h"

using namespace lycheearch;

namespace {

constexpr std::uint64_t Account = 7;
constexpr std::uint64_t OtherAccount = 8;
constexpr std::uint64_t Cause = 900;
constexpr std::uint64_t Neighbours = 901;
constexpr std::uint64_t Wider = 950;

/// Requests of one family that were lost with servers. Each has a content of its own.
struct Losses
{
    std::uint64_t family;
    std::vector<std::uint64_t> servers; ///< Server N ends at N * spacing.
    std::uint64_t account = Account;
    int requestsPerServer = 1;
    bool condemned = false;
    std::uint64_t wider = 0; ///< A wider family of these requests; 0 for none.
    std::uint64_t content = 0; ///< If not 0, of all requests.
};

std::vector<std::uint64_t> convictedOf(const std::vector<Losses> &losses, Duration spacing = 1s)
{
    RequestFamilies families;
    std::uint64_t request = 0;
    for (const Losses &loss : losses) {
        for (const std::uint64_t server : loss.servers) {
            for (int i = 0; i < loss.requestsPerServer; ++i) {
                ++request;
                const std::uint64_t content = loss.content != 0 ? loss.content : 1000 + request;
                RequestCrash crash{request, server,           loss.account,
                                   {},      Duration::zero(), {content, {loss.family}}};
                if (loss.wider != 0) {
                    crash.identity.families.push_back(loss.wider);
                }
                const TimePoint at = TimePoint(Duration(1000s)) + spacing * server;
                families.addEnded(server, at);
                families.addRequest(crash);
                families.add(crash, 0, loss.condemned, at);
                if (loss.wider != 0) {
                    families.add(crash, 1, false, at);
                }
            }
        }
    }
    std::vector<std::uint64_t> found;
    for (const RequestFamilies::Suspect &suspect : families.convicted()) {
        found.push_back(suspect.key.hash);
    }
    return found;
}

using Families = std::vector<std::uint64_t>;

} // namespace

Test(requestFamilies, three_servers_one_after_the_other_convict_a_family)
{
    cr_expect(convictedOf({{Cause, {1, 2}}}) == Families());
    cr_expect(convictedOf({{Cause, {1, 2, 3}}}) == (Families{Cause}));
}

// Guards against a verdict on what ran on servers that were lost at once.
Test(requestFamilies, a_loss_of_many_servers_at_once_convicts_none)
{
    const Losses others{Neighbours, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, OtherAccount, 2};
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4, 5, 6, 7, 8}}, others}, 10ms) == Families());
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4, 5, 6, 7, 8}}, others}, 200ms) == (Families{Cause}));
}

Test(requestFamilies, a_family_that_ends_all_servers_at_once_is_convicted)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3}}}, 10ms) == Families());
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4}}}, 10ms) == (Families{Cause}));
}

// Guards against a verdict on all requests of an account on one path, where bodies say little.
Test(requestFamilies, a_family_of_which_several_requests_run_on_a_server_is_not_convicted)
{
    cr_expect(convictedOf({{Neighbours, {1, 2, 3, 4, 5, 6}, Account, 2}}) == Families());
}

Test(requestFamilies, one_request_that_comes_again_is_not_judged_as_a_family)
{
    Losses repeated{Cause, {1, 2, 3, 4}};
    repeated.content = 77;
    cr_expect(convictedOf({repeated}) == Families());
    // Nor is the family condemned because of others that were lost beside it.
    cr_expect(convictedOf({repeated, {Cause, {5}}}) == Families());
}

Test(requestFamilies, families_that_share_all_servers_wait_for_the_next_crash)
{
    const Losses neighbours{Neighbours, {1, 2, 3}, OtherAccount};
    cr_expect(convictedOf({{Cause, {1, 2, 3}}, neighbours}) == Families());
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4}}, neighbours}) == (Families{Cause}));
}

Test(requestFamilies, the_narrowest_family_that_explains_the_crashes_is_convicted)
{
    Losses cause{Cause, {1, 2, 3}};
    cause.wider = Wider;
    cr_expect(convictedOf({cause}) == (Families{Cause}));
    // The parts that the request shares with others change as well.
    std::vector<Losses> changing;
    for (std::uint64_t server = 1; server <= 3; ++server) {
        changing.push_back({Cause + server, {server}});
        changing.back().wider = Wider;
    }
    cr_expect(convictedOf(changing) == (Families{Wider}));
}

Test(requestFamilies, crashes_that_a_condemned_family_explains_convict_no_other)
{
    Losses condemned{Cause, {1, 2, 3, 4, 5, 6}};
    condemned.condemned = true;
    cr_expect(convictedOf({condemned, {Neighbours, {1, 2, 3, 4, 5}, OtherAccount}}) == Families());
}
