#pragma once

#include <optional>
#include <vector>

#include "Adapters/ModelEngine.h"
#include "Routing/BackendTable.h"

namespace lycheearch {

/// An order to load or unload a version on an engine.
struct VersionOrder
{
    InstanceId engine;
    Endpoint address;
    OrderKind kind = OrderKind::Load;
    VersionId version;
};

/// Compares the desired replicas of the manifest with the versions that the engines of a data
/// centre report, and returns one order at a time. Stateless: after a crash or a change of the
/// lease holder, the next daemon continues from the reports.
class Reconciler
{
public:
    explicit Reconciler(DataCentreId dataCentre);

    /// The next order, or std::nullopt if no order is needed or possible. Missing replicas are
    /// loaded before withdrawn versions are unloaded, so that, where a version slot is free, the
    /// number of replicas does not drop below the desired one. Only idle engines unload.
    std::optional<VersionOrder> next(const ConfigState &config,
                                     const std::vector<BackendView> &views) const;

private:
    using Engines = std::vector<const BackendView *>;

    /// Engines of this data centre that have reported and are in service.
    Engines ownEngines(const ConfigState &config, const std::vector<BackendView> &views) const;
    static int replicas(const Engines &engines, const VersionId &version);
    /// Of the engines that have a free version slot and have not loaded the version, the one with
    /// the fewest versions; null if there is none.
    static const BackendView *engineToLoad(const ConfigState &config, const Engines &engines,
                                           const VersionSpec &version);

    DataCentreId m_dataCentre;
};

} // namespace lycheearch
