#include <criterion/criterion.h>

#include "Routing/RequestSuspects.h"

using namespace lycheearch;

namespace {

constexpr std::uint64_t Account = 7;
constexpr std::uint64_t Cause = 1;
constexpr std::uint64_t Neighbour = 2;

/// The connections lost under one request on the given servers, each under a new id.
struct Losses
{
    std::uint64_t content;
    std::vector<std::uint64_t> servers;
    bool begun = false;
    bool condemned = false;
    bool served = false;
};

RequestSuspects suspectsOf(const std::vector<Losses> &losses)
{
    RequestSuspects suspects;
    std::uint64_t request = 0;
    for (const Losses &loss : losses) {
        for (const std::uint64_t server : loss.servers) {
            RequestCrash crash{++request, server, Account, {}, Duration::zero(), loss.content};
            if (loss.begun) {
                crash.parts = {100};
            }
            suspects.add(crash, loss.served, loss.condemned);
        }
    }
    return suspects;
}

std::vector<std::uint64_t> convictedOf(const std::vector<Losses> &losses)
{
    std::vector<std::uint64_t> contents;
    for (const auto &suspect : suspectsOf(losses).convicted()) {
        contents.push_back(suspect.key.hash);
    }
    return contents;
}

using Contents = std::vector<std::uint64_t>;

} // namespace

Test(requestSuspects, three_servers_convict_a_request_without_rivals)
{
    cr_expect(convictedOf({{Cause, {1, 2}}}) == Contents());
    cr_expect(convictedOf({{Cause, {1, 2, 3}}}) == (Contents{Cause}));
    cr_expect(convictedOf({{Cause, {1, 2, 3}}, {Neighbour, {1, 2}}}) == (Contents{Cause}));
}

Test(requestSuspects, requests_that_ended_with_the_same_servers_wait_for_the_next_crash)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3}}, {Neighbour, {1, 2, 3}}}) == Contents());
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4}}, {Neighbour, {1, 2, 3}}}) == (Contents{Cause}));
}

Test(requestSuspects, five_servers_convict_a_request_whatever_its_rivals)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4, 5}}, {Neighbour, {1, 2, 3, 4, 5}}})
              == (Contents{Cause, Neighbour}));
}

Test(requestSuspects, of_equals_the_one_that_had_begun_everywhere_is_the_cause)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3}, true}, {Neighbour, {1, 2, 3}}}) == (Contents{Cause}));
}

Test(requestSuspects, crashes_that_a_condemned_request_explains_convict_no_other)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4, 5, 6}, false, true}, {Neighbour, {1, 2, 3, 4, 5}}})
              == Contents());
}

Test(requestSuspects, a_wrong_verdict_does_not_protect_the_cause)
{
    cr_expect(convictedOf({{Neighbour, {1, 2, 3}, false, true}, {Cause, {1, 2, 3}}})
              == (Contents{Cause}));
    cr_expect(convictedOf({{Neighbour, {1, 2, 3}, false, true}, {Cause, {1, 2, 3, 4}}})
              == (Contents{Cause}));
}

Test(requestSuspects, independent_causes_do_not_wait_for_each_other)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3}}, {Neighbour, {4, 5, 6}}})
              == (Contents{Cause, Neighbour}));
}

Test(requestSuspects, a_request_that_was_served_before_needs_twice_the_evidence)
{
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4, 5}, false, false, true}}) == Contents());
    cr_expect(convictedOf({{Cause, {1, 2, 3, 4, 5, 6}, false, false, true}}) == (Contents{Cause}));
}
