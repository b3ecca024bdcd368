#include <criterion/criterion.h>

#include <limits>

#include "Feed/FeedMessages.h"
#include "Routing/CapacityShares.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServiceId Desk("desk");

} // namespace

Test(serviceUses, pass_in_the_loads_but_for_those_that_cannot_be)
{
    FeedLoad load;
    load.uses[{Desk, 1}] = {3, 0.5};
    load.uses[{Desk, 2}] = {std::numeric_limits<double>::quiet_NaN(), 0};
    load.uses[{Desk, 3}] = {-1, 0};
    load.uses[{Desk, 4}] = {1e300, 0};
    FeedFrameReader reader;
    std::vector<FeedMessage> messages;
    cr_assert(reader.feed(encodeFeedFrame(load), messages));
    cr_assert_eq(messages.size(), 1);
    const ServiceUses uses = std::get<FeedLoad>(messages.front()).uses;
    cr_expect_eq(uses.size(), 1);
    cr_expect(uses.at({Desk, 1}) == (AccountUse{3, 0.5}));
}

Test(serviceUses, of_the_other_daemons_age_out_and_without_them_an_account_keeps_all)
{
    CapacityShares shares;
    shares.onAdmitted({Desk, 1}, 10, Start);
    cr_expect_eq(shares.keptPart({Desk, 1}, 0.5, Start), 1);
    shares.setOtherDaemonsUses({{{Desk, 1}, {90, 0}}, {{Desk, 2}, {10, 0}}}, Start);
    cr_expect_lt(shares.keptPart({Desk, 1}, 0.5, Start), 0.5);
    cr_expect_eq(shares.keptPart({Desk, 2}, 0.5, Start), 1);
    cr_expect_eq(shares.keptPart({Desk, 1}, 0.5, Start + 2s), 1);
}
