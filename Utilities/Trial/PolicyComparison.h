#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace lycheearch::trial {

/// Compares the planner with simple policies for choosing a version. Each policy runs a simulation
/// of engines and of the rating service from the same seed, in which all answers of the cheapest
/// version become bad after half of the requests. Prints a table of cost and quality. \p deployment
/// is a folder with manifest.yaml and fleet.yaml. Throws std::runtime_error with the findings if
/// either file is not valid.
void comparePolicies(const std::string &deployment, std::uint64_t seed, int requests,
                     std::ostream &out);

} // namespace lycheearch::trial
