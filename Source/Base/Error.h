#pragma once

#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "Base/Time.h"

namespace lycheearch {

/// Errors that the daemons and the command line tool report. Callers see the names in snake case;
/// these codes are stable.
enum class Errc {
    Malformed = 1,
    TooLarge,
    Unauthenticated,
    AccountForbidsModel,
    UnknownModel,
    UnknownOperation,
    VersionWithdrawn,
    NoBackend,
    Overloaded,
    DeadlineExceeded,
    NotReady,
    Stopping,
    ClaimedElsewhere,
    ClaimUncertain,
    OutcomeUnknown,
    BackendFailed,
    BackendBroken,
    BackendOverloaded,
    KeyReused,
    LogUnavailable,
    LogUncertain,
    LogTruncated,
    PeerUnavailable,
    PlatformUnavailable,
    InvalidSettings,
    InvalidManifest,
    NotFound,
};

/// Error category of Errc. Its messages are the stable codes in snake case.
const std::error_category &lycheearchCategory();
std::error_code make_error_code(Errc code); // NOLINT(readability-identifier-naming)

/// Whether a failed request was executed. NotRun is reported only if it certainly was not, so that
/// a retry is safe.
enum class RunState { NotRun, Ran, Unknown };
const char *runStateName(RunState state);
/// Whether a request was executed, of which two attempts ended so: a request of which one attempt
/// ran has run, whatever became of the other.
RunState gravest(RunState left, RunState right);

/// An error with its cause and what the caller needs to decide on a retry.
struct Failure
{
    std::error_code code;
    std::string message;
    RunState run = RunState::NotRun;
    Duration retryAfter = Duration::zero(); ///< Suggested delay before a retry; zero: none.
};

Failure makeFailure(Errc code, std::string message, RunState run = RunState::NotRun,
                    Duration retryAfter = Duration::zero());

/// Either a value or the failure of the operation that should have returned it.
template <typename T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor)
        : m_state(std::move(value))
    {
    }
    Result(Failure failure) // NOLINT(google-explicit-constructor)
        : m_state(std::move(failure))
    {
    }

    bool ok() const { return std::holds_alternative<T>(m_state); }
    const T &value() const { return std::get<T>(m_state); }
    T &value() { return std::get<T>(m_state); }
    const Failure &failure() const { return std::get<Failure>(m_state); }

private:
    std::variant<T, Failure> m_state;
};

/// Result of an operation that returns no value: empty on success.
using Status = std::optional<Failure>;

} // namespace lycheearch

template <>
struct std::is_error_code_enum<lycheearch::Errc> : std::true_type
{
};
