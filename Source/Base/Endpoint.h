#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lycheearch {

/// An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool empty() const { return port == 0; }
    std::string text() const { return host + ":" + std::to_string(port); }
    auto operator<=>(const Endpoint &) const = default;

    /// Parses IP:PORT, such as "127.0.0.1:8080". Returns std::nullopt for other text or
    /// port 0.
    static std::optional<Endpoint> parse(const std::string &text);
};

} // namespace lycheearch
