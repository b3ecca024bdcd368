#pragma once

#include <optional>
#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Types of records in the configuration stream.
enum class ConfigRecordType {
    Manifest, ///< Publishes a manifest.
    DataCentre, ///< Takes a data centre out of service or returns it.
    Instance, ///< Takes an instance out of service or returns it.
    VersionStop, ///< Withdraws a version whose results became bad; written by a daemon.
    Snapshot, ///< State after a prefix of the stream; written by a daemon.
};

/// One operator action or automatic decision, as stored in the log.
struct ConfigRecord
{
    ConfigRecordType type = ConfigRecordType::Manifest;
    OperationId operation; ///< Deduplicates retries of one action.
    int validationVersion = 1; ///< Version of the validation rules that the record needs.
    /// Manifest: revision of the manifest that it replaces. Data centre and instance: revision of
    /// the daemon that accepted the record while the log was unavailable; 0: no conflict check.
    Revision base;
    std::string subject; ///< Data centre, instance or version.
    bool out = false; ///< Data centre and instance: whether it is out of service.
    std::string text; ///< Manifest: YAML text. Snapshot: state as JSON. Version stop: reason.
    std::string author; ///< Instance that wrote the record; empty for the command line tool.
};

std::string encodeConfigRecord(const ConfigRecord &record);
/// Returns std::nullopt for text that is not a configuration record.
std::optional<ConfigRecord> decodeConfigRecord(const std::string &text);

} // namespace lycheearch
