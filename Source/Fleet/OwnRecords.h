#pragma once

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// Whether a record of Topic::Own has the rollout evidence that a daemon collected.
bool hasRolloutEvidence(const RawRecord &record);

/// Decodes a record of Topic::Own. Returns an UnreadableRecord for an unknown or deleted key, but
/// no evidence for a deleted key of evidence; throws nlohmann::json::exception if the value is
/// malformed.
FleetRecord decodeOwnRecord(const RawRecord &record);

/// Encodes MemberRegistered, EvidenceCollected and RolloutStage. Returns an empty record for other
/// types.
RawRecord encodeOwnRecord(const FleetRecord &record);

} // namespace lycheearch
