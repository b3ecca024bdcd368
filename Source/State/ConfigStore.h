#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include "Config/ConfigFold.h"
#include "OwnFormats/LogService.h"
#include "Peer/PeerMessages.h"

namespace lycheearch {

/// The configuration in force in this daemon, fed by the log, by peers and by provisional records.
/// Safe for use by many threads.
class ConfigStore
{
public:
    ConfigStatePtr current() const;

    /// Folds a part of the configuration stream. Returns whether the state changed.
    bool applyRecords(const std::vector<LogRecord> &records, TimePoint now);
    /// Takes over the state of a peer if it is newer.
    bool applySnapshot(const std::string &snapshot, TimePoint now);
    std::string encodeSnapshot() const;

    /// Adds an operator's record that the log could not take. Returns whether it was new.
    bool addProvisional(const std::string &data);
    /// Provisional records that the log does not hold yet, encoded.
    std::vector<std::string> provisional() const;

    /// Time since the log or a peer last confirmed the state. Nothing if it never was.
    std::optional<Duration> age(TimePoint now) const;
    /// Notes that the log or a peer has nothing newer.
    void confirm(TimePoint now);

private:
    void dropLoggedProvisional();
    void reapplyProvisional();

    mutable std::mutex m_mutex;
    ConfigFold m_fold;
    std::vector<ConfigRecord> m_provisional;
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace lycheearch
