#include "Base/Error.h"

namespace lycheearch {

namespace {

const char *codeName(Errc code)
{
    switch (code) {
    case Errc::Malformed:
        return "malformed";
    case Errc::TooLarge:
        return "too_large";
    case Errc::Unauthenticated:
        return "unauthenticated";
    case Errc::AccountForbidsModel:
        return "account_forbids_model";
    case Errc::UnknownModel:
        return "unknown_model";
    case Errc::UnknownOperation:
        return "unknown_operation";
    case Errc::VersionWithdrawn:
        return "version_withdrawn";
    case Errc::NoBackend:
        return "no_backend";
    case Errc::Overloaded:
        return "overloaded";
    case Errc::DeadlineExceeded:
        return "deadline_exceeded";
    case Errc::NotReady:
        return "not_ready";
    case Errc::Stopping:
        return "stopping";
    case Errc::ClaimedElsewhere:
        return "claimed_elsewhere";
    case Errc::ClaimUncertain:
        return "claim_uncertain";
    case Errc::OutcomeUnknown:
        return "outcome_unknown";
    case Errc::BackendFailed:
        return "backend_failed";
    case Errc::BackendBroken:
        return "backend_broken";
    case Errc::BackendOverloaded:
        return "backend_overloaded";
    case Errc::KeyReused:
        return "key_reused";
    case Errc::LogUnavailable:
        return "log_unavailable";
    case Errc::LogUncertain:
        return "log_uncertain";
    case Errc::LogTruncated:
        return "log_truncated";
    case Errc::PeerUnavailable:
        return "peer_unavailable";
    case Errc::PlatformUnavailable:
        return "platform_unavailable";
    case Errc::InvalidSettings:
        return "invalid_settings";
    case Errc::InvalidManifest:
        return "invalid_manifest";
    case Errc::NotFound:
        return "not_found";
    }
    return "unknown_error";
}

class Category : public std::error_category
{
public:
    const char *name() const noexcept override { return "lycheearch"; }
    std::string message(int value) const override { return codeName(static_cast<Errc>(value)); }
};

} // namespace

const std::error_category &lycheearchCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(Errc code) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(code), lycheearchCategory()};
}

RunState gravest(RunState left, RunState right)
{
    if (left == RunState::Ran || right == RunState::Ran) {
        return RunState::Ran;
    }
    return left == RunState::Unknown ? left : right;
}

const char *runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

Failure makeFailure(Errc code, std::string message, RunState run, Duration retryAfter)
{
    return Failure{make_error_code(code), std::move(message), run, retryAfter};
}

} // namespace lycheearch
