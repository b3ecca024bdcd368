#pragma once

#include <optional>

#include "Routing/BackendPicker.h"

namespace lycheearch {

/// The value of the log field "outcome".
const char *outcomeName(SendOutcome outcome);
/// The cause in the log and in the response to the caller.
const char *pickFaultMessage(PickFault fault);

/// Whether the outcome counts as a success or a failure of the backend server's version;
/// std::nullopt if it counts as neither.
std::optional<bool> versionSuccess(SendOutcome outcome);

} // namespace lycheearch
