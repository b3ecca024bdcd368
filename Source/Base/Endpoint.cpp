#include "Base/Endpoint.h"

#include <charconv>

#include <Poco/Net/IPAddress.h>

namespace lycheearch {

std::optional<Endpoint> Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    // Digits only: other parsers accept signs, spaces and more.
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || last != end || port == 0) {
        return std::nullopt;
    }
    Poco::Net::IPAddress address;
    if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), address)
        || address.family() != Poco::Net::AddressFamily::IPv4) {
        return std::nullopt;
    }
    return Endpoint{address.toString(), port};
}

} // namespace lycheearch
