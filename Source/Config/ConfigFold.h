#pragma once

#include "Base/Ids.h"
#include "Config/ConfigRecord.h"
#include "Config/ConfigState.h"

namespace lycheearch {

/// Folds the configuration stream, record by record, into the state in force. The result depends
/// on the records alone, so every daemon that folded the same prefix holds the same state.
class ConfigFold
{
public:
    /// Oldest and newest rules of acceptance that this build knows.
    static constexpr int NewestValidation = 1;

    ConfigFold();

    /// The state after all folded records.
    const ConfigStatePtr &state() const { return m_state; }
    /// Offset of the record that is folded next.
    Offset nextOffset() const { return Offset(m_state->revision.value()); }

    /// Folds the record at \p offset. A record below nextOffset() is ignored, so that the
    /// revision never goes back. A record above it is only folded if it is a snapshot.
    /// Returns whether the state changed.
    bool apply(Offset offset, const std::string &data);

    /// The state as text for a snapshot record or for a peer.
    std::string encodeSnapshot() const;
    /// Takes over a snapshot if it is newer than the state. Returns whether it did.
    bool restoreSnapshot(const std::string &text);

    /// Puts a provisional data centre or instance record over the state until the log has it.
    bool applyProvisional(const ConfigRecord &record);

private:
    void fold(ConfigState &state, const ConfigRecord &record);
    void foldManifest(ConfigState &state, const ConfigRecord &record, FoldOutcome &outcome);

    ConfigStatePtr m_state;
};

} // namespace lycheearch
