#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "Trial.h"

namespace lycheearch::trial {

/// One cell of the fault matrix: a fault that is injected while a workload runs.
struct Scenario
{
    std::string name;
    std::string fault; ///< The injected fault, in words.
    std::string step; ///< Step that the fault hits, in words, such as "dispatch".
    std::function<void(Trial &)> inject; ///< Runs concurrently with the workload.
    std::function<void(Trial &)> heal; ///< Runs after the workload; may be empty.
    std::function<void(WorkloadSpec &)> adjustWorkload; ///< Changes the workload; may be empty.
    std::function<void(FleetPlan &)> adjustFleet; ///< Changes the fleet; may be empty.
    bool requiresAllAnswers = false; ///< Requires an answer to every request, after retries.
};

/// Result of running a scenario.
struct ScenarioOutcome
{
    std::string name;
    std::vector<Verdict> verdicts;
    std::size_t sent = 0; ///< Requests.
    std::size_t answered = 0; ///< Requests.
    std::string error; ///< Why the scenario could not be completed; empty if it was.

    /// Whether the scenario was completed without a violation.
    bool passed() const;
};

/// All scenarios of the fault matrix.
std::vector<Scenario> allScenarios();

/// Runs one scenario with its own fleet, whose loopback ports start at \p firstPort. The outcome
/// contains the message of an exception, if any.
ScenarioOutcome runScenario(const Scenario &scenario, const TrialPaths &paths,
                            std::uint16_t firstPort, const WorkloadSpec &spec);

/// Prints one line, and the error and the first violations of a scenario that failed.
void printOutcome(const ScenarioOutcome &outcome, std::ostream &out);

} // namespace lycheearch::trial
