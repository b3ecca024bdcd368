#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace lycheearch::trial {

/// Compares the planner with plain ways of choosing a version on one seeded sequence of requests,
/// with fakes of engines and of the rating service, and prints a table. Half-way the cheapest
/// version turns bad.
void compareDecisions(const std::string &deployment, std::uint64_t seed, int requests,
                      std::ostream &out);

} // namespace lycheearch::trial
