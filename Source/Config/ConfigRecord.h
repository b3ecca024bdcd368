#pragma once

#include <optional>
#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Kinds of records on the configuration stream.
enum class ConfigRecordType {
    Manifest, ///< Publishes a manifest.
    DataCentre, ///< Takes a data centre out or brings it back.
    Instance, ///< Takes an instance out or brings it back.
    VersionStop, ///< Stops a version that turned bad, written by a daemon.
    Snapshot, ///< State of the fold for a prefix, written by a daemon.
};

/// One operator action, or one automatic decision, as it stands in the log.
struct ConfigRecord
{
    ConfigRecordType type = ConfigRecordType::Manifest;
    OperationId operation; ///< Folds repeats of one action away.
    int validation = 1; ///< Version of the rules that decide whether it is accepted.
    Revision base; ///< Manifest only: revision of the manifest that it was made from.
    std::string subject; ///< Data centre, instance or version.
    bool out = false; ///< Data centre and instance only.
    std::string text; ///< Manifest: its text. Snapshot: the state. Stop: the reason.
    std::string author; ///< Who wrote it, for the operator.
};

std::string encodeConfigRecord(const ConfigRecord &record);
/// Returns nothing for text that is no configuration record.
std::optional<ConfigRecord> decodeConfigRecord(const std::string &text);

} // namespace lycheearch
