#include "Fleet/RecordDecoder.h"

#include <exception>
#include <utility>

#include "Fleet/RecordJson.h"

namespace lycheearch {

namespace {

/// Arrays and objects that enclose a member of the record, and a route.
constexpr int DepthOfMember = 1;
constexpr int DepthOfRoute = 2;

} // namespace

FleetRecord RecordDecoder::decode(Topic topic, const RawRecord &record,
                                  std::optional<ConfigVersion> inForce)
{
    const std::string_view member = m_codec.routesMember(topic, record);
    if (member.empty()) {
        return m_codec.decode(topic, record);
    }
    try {
        return decodeInParts(record, member, inForce);
    } catch (const std::exception &) {
        // The whole decode reports the place.
        return m_codec.decode(topic, record);
    }
}

FleetRecord RecordDecoder::decodeInParts(const RawRecord &record, std::string_view member,
                                         std::optional<ConfigVersion> inForce)
{
    requireRecordSize(record.value);
    auto text = std::make_unique<const std::string>(record.value);
    m_known.rewind();
    std::optional<SplitConfig> parts = split(*text, member);
    if (!parts) {
        throw RecordFormatError("the record", "an object with an array of routes");
    }
    if (parts->routes.size() > MaxRoutes) {
        // Decided here, because the whole decode would use memory for each route.
        return UnreadableRecord{record.key, tooManyRoutes(std::string(member)).what()};
    }
    RoutingConfig config = m_codec.decodeWithoutRoutes(parts->withoutRoutes);
    if (inForce && config.version <= *inForce) {
        return ConfigOutdated{config.version};
    }
    config.routes.reserve(parts->routes.size());
    for (KnownRoutes::Entry &entry : parts->routes) {
        if (!entry.route) {
            entry.route =
                std::make_shared<const Route>(m_codec.decodeRoute(std::string(entry.text)));
        }
        config.routes.add(entry.route);
    }
    requireDistinctNames(config.routes, std::string(member));
    m_known = KnownRoutes(std::move(text), std::move(parts->routes));
    return ConfigPublished{std::make_shared<const RoutingConfig>(std::move(config))};
}

std::optional<RecordDecoder::SplitConfig> RecordDecoder::split(std::string_view text,
                                                               std::string_view member)
{
    std::optional<SplitConfig> parts;
    JsonScanner scanner(text);
    if (!scanner.accept('{')) {
        return std::nullopt;
    }
    do {
        const auto name = scanner.readPlainString();
        if (!name || !scanner.accept(':')) {
            return std::nullopt;
        }
        if (*name != member) {
            if (!scanner.skipValue(MaxRecordDepth - DepthOfMember)) {
                return std::nullopt;
            }
            continue;
        }
        const std::size_t begin = scanner.position();
        if (parts || !readRoutes(scanner, parts.emplace().routes)) {
            return std::nullopt;
        }
        parts->withoutRoutes = std::string(text.substr(0, begin)) + "[]";
        parts->withoutRoutes += text.substr(scanner.position());
    } while (scanner.accept(','));
    return scanner.accept('}') ? std::move(parts) : std::nullopt;
}

bool RecordDecoder::readRoutes(JsonScanner &scanner, std::vector<KnownRoutes::Entry> &routes)
{
    if (!scanner.accept('[')) {
        return false;
    }
    if (scanner.accept(']')) {
        return true;
    }
    do {
        if (const KnownRoutes::Entry *known = m_known.findNext(scanner.rest())) {
            routes.push_back({scanner.rest().substr(0, known->text.size()), known->route});
            scanner.skip(known->text.size());
            continue;
        }
        const auto element = scanner.rest().starts_with('{')
            ? scanner.skipValue(MaxRecordDepth - DepthOfRoute)
            : std::nullopt;
        if (!element) {
            return false;
        }
        const KnownRoutes::Entry *known = m_known.find(*element);
        routes.push_back({*element, known == nullptr ? nullptr : known->route});
    } while (scanner.accept(','));
    return scanner.accept(']');
}

} // namespace lycheearch
