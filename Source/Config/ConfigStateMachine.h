#pragma once

#include "Base/Ids.h"
#include "Config/ConfigRecord.h"
#include "Config/ConfigState.h"

namespace lycheearch {

/// Applies the records of the configuration stream, one by one, to the configuration state. The
/// result depends only on the records, so all daemons that applied the same prefix of the stream
/// have the same state. Provisional records are the exception: they apply before they are in the
/// log, so that an operator can act while the log is unavailable.
class ConfigStateMachine
{
public:
    /// Highest version of the validation rules that this build implements. A record that needs a
    /// higher one is rejected.
    static constexpr int HighestValidationVersion = 1;

    ConfigStateMachine();

    /// The state after all applied records. Never null.
    const ConfigStatePtr &state() const { return m_state; }
    /// Offset of the next record to apply.
    Offset nextOffset() const { return Offset(m_state->revision.value()); }

    /// Applies the record at \p offset. A record below nextOffset() is ignored, so the revision
    /// never decreases. A record above it leaves a gap and is ignored, unless it is a snapshot
    /// that is newer than the state. Returns whether the state changed.
    bool apply(Offset offset, const std::string &data);

    /// The state as JSON, for a snapshot record or a peer.
    std::string encodeSnapshot() const;
    /// Replaces the state with a snapshot if that is valid and newer. Returns whether it did.
    bool restoreSnapshot(const std::string &text);

    /// Applies a data centre, instance or version stop record that is not in the log yet. Returns
    /// false for another type, or if the log already has its operation.
    bool applyProvisional(const ConfigRecord &record);

private:
    void applyRecord(ConfigState &state, const ConfigRecord &record);
    void applyManifest(ConfigState &state, const ConfigRecord &record, OperationOutcome &outcome);

    ConfigStatePtr m_state;
};

} // namespace lycheearch
