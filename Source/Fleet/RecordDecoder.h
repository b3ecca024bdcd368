#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Fleet/FleetStore.h"
#include "Fleet/JsonScanner.h"
#include "Fleet/KnownRoutes.h"

namespace lycheearch {

/// Decodes the records of the store with the result of RecordCodec::decode(). Of a version of the
/// configuration, only the routes that differ from those of the version decoded before are decoded,
/// and none if the version is not newer than the one in force. A record that can't be split into
/// its routes, or of which a part can't be decoded, is decoded as a whole.
class RecordDecoder
{
public:
    explicit RecordDecoder(const RecordCodec &codec)
        : m_codec(codec)
    {
    }

    /// \p inForce is the version of the configuration in force, if any. Returns ConfigOutdated for
    /// a configuration that is not newer.
    FleetRecord decode(Topic topic, const RawRecord &record, std::optional<ConfigVersion> inForce);

private:
    /// A configuration record, split at its routes.
    struct SplitConfig
    {
        std::string withoutRoutes; ///< The record with an empty array of routes.
        std::vector<KnownRoutes::Entry> routes; ///< Without the route if its text is not known.
    };

    std::optional<SplitConfig> split(std::string_view text, std::string_view member);
    bool readRoutes(JsonScanner &scanner, std::vector<KnownRoutes::Entry> &routes);
    /// Throws std::exception if the record can't be split or a part can't be decoded.
    FleetRecord decodeInParts(const RawRecord &record, std::string_view member,
                              std::optional<ConfigVersion> inForce);

    const RecordCodec &m_codec;
    KnownRoutes m_known;
};

} // namespace lycheearch
