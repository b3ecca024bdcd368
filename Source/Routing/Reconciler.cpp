#include "Routing/Reconciler.h"

#include <algorithm>

namespace lycheearch {

Reconciler::Reconciler(DataCentreId dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

Reconciler::Engines Reconciler::ownEngines(const ConfigState &config,
                                           const std::vector<BackendView> &views) const
{
    Engines engines;
    for (const BackendView &view : views) {
        const bool usable = view.known && !view.instance.leaving
            && view.instance.kind == InstanceKind::Engine
            && view.instance.dataCentre == m_dataCentre && !config.isOutOfService(view.instance.id);
        if (usable) {
            engines.push_back(&view);
        }
    }
    return engines;
}

int Reconciler::replicas(const Engines &engines, const VersionId &version)
{
    return static_cast<int>(
        std::count_if(engines.begin(), engines.end(),
                      [&](const BackendView *view) { return view->versions.contains(version); }));
}

const BackendView *Reconciler::engineToLoad(const ConfigState &config, const Engines &engines,
                                            const VersionSpec &version)
{
    const BackendView *best = nullptr;
    for (const BackendView *view : engines) {
        const BackendClassSpec spec = backendClass(config, view->instance.backendClass);
        const bool full = static_cast<int>(view->versions.size()) >= spec.versionSlots;
        if (full || view->versions.contains(version.id)) {
            continue;
        }
        if (best == nullptr || view->versions.size() < best->versions.size()) {
            best = view;
        }
    }
    return best;
}

std::optional<VersionOrder> Reconciler::next(const ConfigState &config,
                                             const std::vector<BackendView> &views) const
{
    const Engines engines = ownEngines(config, views);
    for (const auto &[id, model] : config.manifest->models) {
        for (const VersionSpec &version : model.versions) {
            const bool mustBeLoaded = config.stateOf(version.id) != VersionState::Withdrawn;
            if (!mustBeLoaded || replicas(engines, version.id) >= version.replicas) {
                continue;
            }
            if (const BackendView *engine = engineToLoad(config, engines, version)) {
                return VersionOrder{engine->instance.id, engine->instance.address, OrderKind::Load,
                                    version.id};
            }
        }
    }
    for (const BackendView *view : engines) {
        for (const VersionId &version : view->versions) {
            // Versions that are not in the manifest stay: another system may have loaded them.
            const VersionSpec *spec = config.manifest->findVersion(version);
            const bool idle = view->outstanding == 0 && view->reportedInFlight == 0;
            const bool withdrawn =
                spec != nullptr && config.stateOf(version) == VersionState::Withdrawn;
            if (withdrawn && spec->replicas > 0 && idle) {
                return VersionOrder{view->instance.id, view->instance.address, OrderKind::Unload,
                                    version};
            }
        }
    }
    return std::nullopt;
}

} // namespace lycheearch
