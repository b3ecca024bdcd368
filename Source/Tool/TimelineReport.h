#pragma once

#include <string>
#include <vector>

#include "Timeline/TimelineEvent.h"

namespace lycheearch {

/// Events as lines of text: time, instance, what happened.
std::string timelineText(const std::vector<TimelineEvent> &events);

/// Events as a page with a lane for each instance, events in causal order from top to bottom.
std::string timelineHtml(const std::vector<TimelineEvent> &events);

} // namespace lycheearch
