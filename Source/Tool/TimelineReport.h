#pragma once

#include <string>
#include <vector>

#include "Timeline/TimelineEvent.h"

namespace lycheearch {

/// Formats events as text, one line each: time of day in UTC, instance, kind, subject and detail.
std::string timelineText(const std::vector<TimelineEvent> &events);

/// Formats events as an HTML page with a column for each instance and a row for each event, in the
/// order given.
std::string timelineHtml(const std::vector<TimelineEvent> &events);

} // namespace lycheearch
