#pragma once

#include <ostream>

#include "Trial.h"

namespace lycheearch::trial {

/// Measures the latency that a daemon adds to a call. Sends the same requests to a backend server
/// directly and through a daemon, one after the other on a keep-alive connection. Also measures the
/// processor time that a lookup takes in the daemon. \p repetitions is the number of lookups of
/// each kind; a quarter as many streams are sent. Prints a table of p50 and p99 in milliseconds.
/// Throws std::runtime_error if a response has another status than 200, and Poco::Exception if a
/// connection fails.
void measureOverhead(Trial &trial, int repetitions, std::ostream &out);

} // namespace lycheearch::trial
