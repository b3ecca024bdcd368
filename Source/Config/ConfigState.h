#pragma once

#include <map>
#include <memory>
#include <string>

#include "Base/Findings.h"
#include "Config/Manifest.h"

namespace lycheearch {

/// Whether a data centre or an instance is out of service, and the record that set it.
struct OutOfServiceMark
{
    bool out = false;
    Revision revision;
    bool provisional = false; ///< Distributed among the daemons, but not in the log yet.
};

/// Whether the record of an operation was accepted, and the reason if it was rejected.
struct OperationOutcome
{
    OperationId operation;
    bool accepted = false;
    std::string reason;
    Revision revision;
};

/// The configuration after a prefix of the configuration stream is applied. Immutable once shared.
struct ConfigState
{
    Revision revision; ///< Records below this offset are applied.
    Revision manifestRevision; ///< Offset of the accepted manifest, plus one; 0: none.
    std::string manifestText;
    std::shared_ptr<const Manifest> manifest = std::make_shared<Manifest>();
    std::map<DataCentreId, OutOfServiceMark> dataCentres;
    std::map<InstanceId, OutOfServiceMark> instances;
    /// Versions that a version stop withdrew, with the reason.
    std::map<VersionId, std::string> stoppedVersions;
    std::map<OperationId, OperationOutcome> outcomes; ///< The most recent operations, at most 1000.

    bool isOutOfService(const DataCentreId &dataCentre) const;
    bool isOutOfService(const InstanceId &instance) const;
    /// State of a version by the manifest; Withdrawn if the version is stopped or unknown.
    VersionState stateOf(const VersionId &version) const;
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

} // namespace lycheearch
