#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "Trial.h"

namespace lycheearch::trial {

/// One cell of the fault matrix: faults that are injected while a load runs.
struct Scenario
{
    std::string name;
    std::string fault; ///< What goes wrong.
    std::string step; ///< During what.
    std::function<void(Trial &)> inject; ///< Runs beside the load.
    std::function<void(Trial &)> heal; ///< Runs after it; may be empty.
    std::function<void(WorkloadSpec &)> adjust; ///< Changes the load; may be empty.
    std::function<void(FleetPlan &)> prepare; ///< Changes the fleet; may be empty.
    bool everyRequestAnswered = false; ///< Callers that repeat as told all get an answer.
};

/// What came of a cell.
struct ScenarioOutcome
{
    std::string name;
    std::vector<Verdict> verdicts;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::string error; ///< The cell could not be run to its end.

    bool green() const;
};

/// All cells, in order.
std::vector<Scenario> allScenarios();

/// Runs one cell with a fleet of its own.
ScenarioOutcome runScenario(const Scenario &scenario, const TrialPaths &paths,
                            std::uint16_t firstPort, const WorkloadSpec &spec);

/// One line for each cell, and the violations of red ones.
void printOutcome(const ScenarioOutcome &outcome, std::ostream &out);

} // namespace lycheearch::trial
