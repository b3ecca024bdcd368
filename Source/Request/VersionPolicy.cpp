#include "Request/VersionPolicy.h"

namespace lycheearch {

Status checkVersion(const ConfigState &config, const AccountId &account, const VersionId &version,
                    bool inSession)
{
    const auto found = config.manifest->accounts.find(account);
    const VersionSpec *spec = config.manifest->findVersion(version);
    const VersionState state = config.stateOf(version);
    const bool closed =
        state == VersionState::Withdrawn || (state == VersionState::Draining && !inSession);
    if (spec == nullptr || closed) {
        return makeFailure(Errc::VersionWithdrawn,
                           "version '" + version.value() + "' accepts no new requests");
    }
    const bool allowed = found != config.manifest->accounts.end()
        && found->second.models.contains(spec->model)
        && (found->second.versions.empty() || found->second.versions.contains(version));
    if (!allowed) {
        return makeFailure(Errc::AccountForbidsModel,
                           "the account may not use version '" + version.value() + "'");
    }
    return std::nullopt;
}

Status checkService(const ConfigState &config, const AccountId &account, const ServiceId &service,
                    const OperationName &operation)
{
    const auto found = config.manifest->accounts.find(account);
    const bool allowed =
        found != config.manifest->accounts.end() && found->second.services.contains(service);
    if (!allowed || config.manifest->findOperation(service, operation) == nullptr) {
        return makeFailure(Errc::AccountForbidsModel,
                           "the account may not use service '" + service.value() + "'");
    }
    return std::nullopt;
}

} // namespace lycheearch
