#include <criterion/criterion.h>

#include "Feed/DataCentreHarness.h"

using namespace lycheearch;

namespace {

/// Bound for a configuration to be in force.
constexpr Duration ConfigBound = 2s;

} // namespace

Test(feed, the_first_of_the_feed_order_gets_configurations_from_a_neighbour_while_the_store_fails,
     .timeout = 20)
{
    DataCentre dataCentre(2);
    dataCentre.daemons[0]->served = false;
    dataCentre.runFor(3s);
    dataCentre.published = true;
    dataCentre.runFor(ConfigBound);
    cr_expect_eq(dataCentre.version(1), 2);
    cr_expect_eq(dataCentre.version(0), 2);
}

Test(feed, a_daemon_without_the_store_leaves_a_source_that_has_lost_the_store_too, .timeout = 20)
{
    DataCentre dataCentre(3);
    dataCentre.daemons[0]->served = false;
    dataCentre.daemons[2]->served = false;
    dataCentre.runFor(3s);
    dataCentre.published = true;
    dataCentre.runFor(ConfigBound);
    cr_expect_eq(dataCentre.version(2), 2);
}

Test(feed, a_daemon_returns_from_a_neighbour_to_the_store_when_it_answers_again, .timeout = 20)
{
    DataCentre dataCentre(2);
    dataCentre.daemons[0]->served = false;
    dataCentre.runFor(3s);
    cr_expect_eq(dataCentre.daemons[0]->client->source(), dataCentre.members[1].instance);
    dataCentre.daemons[0]->served = true;
    dataCentre.runFor(2s);
    cr_expect(dataCentre.daemons[0]->client->source().empty());
    cr_expect(dataCentre.daemons[1]->state->follower.followingFeed());
}

Test(feed, a_daemon_that_follows_a_fresh_source_seldom_tries_the_stale_ones_before_it,
     .timeout = 20)
{
    DataCentre dataCentre(3);
    dataCentre.daemons[0]->served = false;
    dataCentre.daemons[2]->served = false;
    dataCentre.runFor(4s);
    const int before = dataCentre.daemons[2]->sourcesFollowed;
    dataCentre.runFor(20s);
    cr_expect_leq(dataCentre.daemons[2]->sourcesFollowed - before, 3);
}

Test(feed, followers_get_the_news_that_their_source_had_from_a_neighbour, .timeout = 20)
{
    DataCentre dataCentre(3);
    dataCentre.daemons[0]->served = false;
    dataCentre.runFor(3s);
    // The last daemon reads the store for itself, and a read takes long.
    dataCentre.daemons[2]->silent = true;
    dataCentre.published = true;
    dataCentre.runFor(1s);
    cr_expect_eq(dataCentre.version(0), 2);
    dataCentre.daemons[0]->served = true;
    dataCentre.runFor(ConfigBound);
    cr_expect(dataCentre.daemons[2]->state->follower.followingFeed());
    cr_expect_eq(dataCentre.version(2), 2);
}
