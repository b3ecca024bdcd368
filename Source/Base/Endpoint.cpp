#include "Base/Endpoint.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>

namespace lycheearch {

std::optional<Endpoint> Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    unsigned port = 0;
    Poco::Net::IPAddress address;
    const bool numeric = Poco::NumberParser::tryParseUnsigned(text.substr(colon + 1), port);
    if (!numeric || port == 0 || port > UINT16_MAX) {
        return std::nullopt;
    }
    if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), address)) {
        return std::nullopt;
    }
    return Endpoint{address.toString(), static_cast<std::uint16_t>(port)};
}

} // namespace lycheearch
