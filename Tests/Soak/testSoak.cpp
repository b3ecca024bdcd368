#include <criterion/criterion.h>

#include "PortLock.h"
#include "Soak.h"

using namespace lycheearch;
using namespace lycheearch::soak;

namespace {

void expectNoViolation(SoakOptions options)
{
    options.faultDuration = 10s;
    options.daemons = 3;
    options.buildFolder = LYCHEEARCH_BUILD_DIR;
    options.workFolder = options.buildFolder + "/test-soak-" + std::to_string(options.firstPort);
    const PortLock ports(options.firstPort);
    Soak soak(options);
    for (const std::string &finding : soak.run()) {
        cr_expect(false, "%s", finding.c_str());
    }
    cr_expect(soak.requests() > 300, "%zu requests", soak.requests());
}

} // namespace

Test(soak, guarantees_hold_under_random_faults, .timeout = 90)
{
    SoakOptions options;
    options.seed = 7;
    options.firstPort = 23000;
    expectNoViolation(options);
}

Test(soak, guarantees_hold_while_the_store_comes_back_older, .timeout = 90)
{
    SoakOptions options;
    options.seed = 11;
    options.storeDrills = true;
    options.firstPort = 23400;
    expectNoViolation(options);
}

Test(soak, limits_of_servers_are_kept_and_requests_that_crash_them_are_refused, .timeout = 90)
{
    SoakOptions options;
    options.seed = 13;
    options.limitsAndCrashes = true;
    options.firstPort = 23800;
    expectNoViolation(options);
}

Test(soak, callers_of_daemons_that_are_cut_off_from_all_servers_are_served, .timeout = 90)
{
    SoakOptions options;
    options.seed = 2;
    options.linkCuts = true;
    options.firstPort = 22600;
    expectNoViolation(options);
}

Test(soak, brittle_servers_do_not_fall_over, .timeout = 90)
{
    SoakOptions options;
    options.seed = 5;
    options.brittle = true;
    options.callersPerDaemon = 12;
    options.firstPort = 22200;
    expectNoViolation(options);
}

Test(soak, requests_sent_near_the_idle_timeout_are_answered_when_the_daemon_stands_still,
     .timeout = 90)
{
    SoakOptions options;
    options.seed = 3;
    options.idleCallers = true;
    options.callersPerDaemon = 40;
    options.firstPort = 21800;
    expectNoViolation(options);
}
