#pragma once

#include <random>

#include <nlohmann/json_fwd.hpp>

#include "Base/Time.h"

namespace lycheearch::soak {

/// Draws the configurations of SoakOptions::idleCallers and how long the callers keep connections
/// at rest. The idle timeout and the number of routes differ from version to version.
class RestPlan
{
public:
    explicit RestPlan(std::mt19937_64 &random);

    /// Draws the idle timeout and the number of further routes of a version and writes them to
    /// \p config. The further routes are copies of its first one with other paths.
    void vary(nlohmann::json &config);
    /// Of the newest version.
    Duration idleTimeout() const { return m_idleTimeout; }
    /// Length of the next rest, as a share of the idle timeout.
    double drawRestShare();

private:
    std::mt19937_64 &m_random;
    Duration m_idleTimeout{};
};

} // namespace lycheearch::soak
