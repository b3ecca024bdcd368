#pragma once

#include <ostream>

#include "Trial.h"

namespace lycheearch::trial {

/// Measures what a daemon adds to a call: the same requests are sent to a backend server directly
/// and through a daemon, in turn and on kept connections. Also measures the processor time of a
/// request. Prints a table.
void measureOverhead(Trial &trial, int repetitions, std::ostream &out);

} // namespace lycheearch::trial
