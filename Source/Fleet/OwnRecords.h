#pragma once

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// Decodes a record of Topic::Own. Returns an UnreadableRecord for an unknown or deleted key;
/// throws nlohmann::json::exception if the value is malformed.
FleetRecord decodeOwnRecord(const RawRecord &record);

/// Encodes MemberRegistered, EvidenceCollected and RolloutStage. Returns an empty record for other
/// types.
RawRecord encodeOwnRecord(const FleetRecord &record);

} // namespace lycheearch
