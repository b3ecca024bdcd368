#include <criterion/criterion.h>

#include <iostream>

#include "PortLock.h"
#include "Scenario.h"

using namespace lycheearch;
using namespace lycheearch::trial;

/// Runs scenarios of the fault matrix with real processes, at a low request rate. Each scenario
/// uses its own ports, so that tests can run in parallel.
namespace {

constexpr Duration LoadLength = 8s;
constexpr double RequestsPerSecond = 20;

void expectPassed(const std::string &name, std::uint16_t firstPort)
{
    const PortLock ports(firstPort);
    const std::string build = LYCHEEARCH_BUILD_DIR;
    const TrialPaths paths{build,
                           std::string(LYCHEEARCH_SOURCE_DIR) + "/Utilities/Deployments/sitara",
                           build + "/test-" + name};
    WorkloadSpec spec;
    spec.length = LoadLength;
    spec.requestsPerSecond = RequestsPerSecond;
    for (const Scenario &scenario : allScenarios()) {
        if (scenario.name != name) {
            continue;
        }
        const ScenarioOutcome outcome = runScenario(scenario, paths, firstPort, spec);
        printOutcome(outcome, std::cout);
        cr_expect(outcome.passed(), "%s", name.c_str());
        return;
    }
    cr_assert_fail("no such scenario: %s", name.c_str());
}

} // namespace

Test(fleet, guarantees_hold_without_a_fault)
{
    expectPassed("none", 24000);
}

Test(fleet, guarantees_hold_when_daemons_are_killed)
{
    expectPassed("daemon-killed", 24200);
}

Test(fleet, guarantees_hold_while_the_log_is_down)
{
    expectPassed("log-down-daemon-killed", 24400);
}

Test(fleet, guarantees_hold_when_a_data_centre_is_partitioned)
{
    expectPassed("cut-from-both", 24600);
}

Test(fleet, guarantees_hold_with_cold_engines)
{
    expectPassed("engines-start-cold", 24800);
}
