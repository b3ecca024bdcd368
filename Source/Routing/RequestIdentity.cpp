#include "Routing/RequestIdentity.h"

#include "Base/Hash.h"

namespace lycheearch {

namespace {

std::uint64_t combinedHash(const std::string &line, std::uint64_t bodyHash)
{
    return mixBits(stableHash(line) ^ mixBits(bodyHash));
}

} // namespace

RequestIdentity requestIdentity(std::string_view method, std::string_view target,
                                const std::vector<std::string> &parts, const std::string &body)
{
    const std::string line = std::string(method) + " " + std::string(target);
    std::string sharedLine = line;
    std::string wholeLine = line;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        wholeLine += " " + parts[i];
        sharedLine += i + 1 < parts.size() ? " " + parts[i] : "";
    }
    const std::uint64_t bodyHash = stableHash(body);
    RequestIdentity identity{combinedHash(wholeLine, bodyHash), {}};
    const bool hasSharedParts = parts.size() > 1;
    if (!parts.empty() && (hasSharedParts || !body.empty())) {
        identity.families.push_back(combinedHash("without the last part " + sharedLine, bodyHash));
    }
    const bool hasQuery = target.find('?') != std::string_view::npos;
    if (!body.empty() && (hasSharedParts || hasQuery)) {
        const std::string path(target.substr(0, target.find('?')));
        identity.families.push_back(
            combinedHash("path and body " + std::string(method) + " " + path, bodyHash));
    }
    return identity;
}

} // namespace lycheearch
