#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include "Adapters/LogService.h"
#include "Config/ConfigStateMachine.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// The configuration in force in this daemon. Its sources are the configuration stream of the log,
/// snapshots from peers, and provisional records: operator records that are applied while the log
/// is unavailable, before they are appended to it. Thread-safe.
class ConfigStore
{
public:
    ConfigStatePtr current() const;

    /// Applies records of the configuration stream. Returns whether the state changed.
    bool applyRecords(const std::vector<LogRecord> &records, TimePoint now);
    /// Restores the state from a snapshot if that is newer. Returns whether it was.
    bool applySnapshot(const std::string &snapshot, TimePoint now);
    std::string encodeSnapshot() const;

    /// Applies an operator's record that could not be appended to the log. Returns false if it is
    /// malformed, already stored or not applicable.
    bool addProvisional(const std::string &data);
    /// Returns the provisional records that are not in the log yet, encoded.
    std::vector<std::string> provisional() const;

    /// Returns the time since the log or a peer last confirmed the state; std::nullopt if neither
    /// has.
    std::optional<Duration> age(TimePoint now) const;
    /// Records that the log or a peer has no newer state at \p now.
    void confirm(TimePoint now);

private:
    void dropLoggedProvisional();
    void reapplyProvisional();

    mutable std::mutex m_mutex;
    ConfigStateMachine m_stateMachine;
    std::vector<ConfigRecord> m_provisional;
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace lycheearch
