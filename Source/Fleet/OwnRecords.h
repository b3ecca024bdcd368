#pragma once

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// Decodes a record of our own topic. Throws nlohmann::json::exception if it can't be read.
FleetRecord decodeOwnRecord(const RawRecord &record);

/// Encodes MemberRegistered, EvidenceCollected and RolloutStage.
RawRecord encodeOwnRecord(const FleetRecord &record);

} // namespace lycheearch
