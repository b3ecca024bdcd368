#pragma once

#include <optional>
#include <vector>

#include "OwnFormats/ModelEngine.h"
#include "Routing/BackendTable.h"

namespace lycheearch {

/// One order to one engine.
struct OrderStep
{
    InstanceId engine;
    Endpoint address;
    OrderKind kind = OrderKind::Load;
    VersionId version;
};

/// Compares what the manifest wants with what the engines of a data centre report, and names one
/// step at a time. It keeps no plan, so an interruption resumes anywhere.
class Reconciler
{
public:
    explicit Reconciler(DataCentreId dataCentre);

    /// The next order, or nothing if the engines are as they should be. Missing replicas are loaded
    /// before anything is unloaded, so the number of replicas never drops below what is wanted.
    std::optional<OrderStep> next(const ConfigState &config,
                                  const std::vector<BackendView> &views) const;

private:
    using Engines = std::vector<const BackendView *>;

    Engines ownEngines(const ConfigState &config, const std::vector<BackendView> &views) const;
    static int replicas(const Engines &engines, const VersionId &version);
    static const BackendView *engineFor(const ConfigState &config, const Engines &engines,
                                        const VersionSpec &version);

    DataCentreId m_dataCentre;
};

} // namespace lycheearch
