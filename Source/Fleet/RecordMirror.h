#pragma once

#include <array>
#include <map>
#include <string>

#include "Fleet/FleetStore.h"

namespace lycheearch {

/// The newest record of each key of each topic, as read from the store, to be passed on to other
/// daemons.
class RecordMirror
{
public:
    /// Replaces a topic by a whole listing.
    void replace(Topic topic, const RecordPage &listing);
    /// Adds records that follow.
    void apply(Topic topic, const RecordPage &page);
    /// All keys of a topic with their newest records.
    RecordPage listing(Topic topic) const;

private:
    struct Mirrored
    {
        std::map<std::string, RawRecord> records;
        Offset end;
    };

    std::array<Mirrored, TopicCount> m_topics;
};

} // namespace lycheearch
