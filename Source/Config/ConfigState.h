#pragma once

#include <map>
#include <memory>
#include <string>

#include "Base/Findings.h"
#include "Config/Manifest.h"

namespace lycheearch {

/// Whether a data centre or an instance is out, and which record said so.
struct OutMark
{
    bool out = false;
    Revision revision;
    bool provisional = false; ///< Spread by daemons, not yet in the log.
};

/// Why a record was accepted or refused.
struct FoldOutcome
{
    OperationId operation;
    bool accepted = false;
    std::string reason;
    Revision revision;
};

/// The configuration in force after a prefix of the configuration stream. Immutable once shared.
struct ConfigState
{
    Revision revision; ///< Records below this offset are folded.
    Revision manifestRevision; ///< Offset of the accepted manifest, plus one. Zero: none.
    std::string manifestText;
    std::shared_ptr<const Manifest> manifest = std::make_shared<Manifest>();
    std::map<DataCentreId, OutMark> dataCentres;
    std::map<InstanceId, OutMark> instances;
    std::map<VersionId, std::string> stoppedVersions; ///< With the reason.
    std::map<OperationId, FoldOutcome> outcomes; ///< The latest operations.

    bool isOut(const DataCentreId &dataCentre) const;
    bool isOut(const InstanceId &instance) const;
    /// State of a version with stops applied; nullptr-safe for unknown versions, which are
    /// withdrawn.
    VersionState stateOf(const VersionId &version) const;
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

} // namespace lycheearch
