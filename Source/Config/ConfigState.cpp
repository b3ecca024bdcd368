#include "Config/ConfigState.h"

namespace lycheearch {

bool ConfigState::isOutOfService(const DataCentreId &dataCentre) const
{
    const auto found = dataCentres.find(dataCentre);
    return found != dataCentres.end() && found->second.out;
}

bool ConfigState::isOutOfService(const InstanceId &instance) const
{
    const auto found = instances.find(instance);
    return found != instances.end() && found->second.out;
}

VersionState ConfigState::stateOf(const VersionId &version) const
{
    const VersionSpec *spec = manifest->findVersion(version);
    if (spec == nullptr || stoppedVersions.contains(version)) {
        return VersionState::Withdrawn;
    }
    return spec->state;
}

} // namespace lycheearch
