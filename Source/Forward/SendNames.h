#pragma once

#include <optional>

#include "Routing/BackendPicker.h"

namespace lycheearch {

/// Names for the log.
const char *outcomeName(SendOutcome outcome);
const char *pickFaultName(PickFault fault);

/// What the end of a send tells about the version of the backend server; nothing if it tells none.
std::optional<bool> versionVerdict(SendOutcome outcome);

} // namespace lycheearch
