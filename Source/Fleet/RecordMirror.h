#pragma once

#include <array>
#include <map>
#include <string>

#include "Fleet/FleetStore.h"

namespace lycheearch {

/// The newest record of each key of each topic, as read from the store or received from a feed. A
/// FeedServer sends these records to each new follower.
class RecordMirror
{
public:
    /// Replaces the records of a topic by a full listing.
    void replace(Topic topic, const RecordPage &listing);
    /// Applies newer records; an empty value removes the key.
    void apply(Topic topic, const RecordPage &page);
    /// Forgets the records of a topic, because the store came back older.
    void clear(Topic topic);
    /// The newest record of a key, or null if the topic has none.
    const RawRecord *find(Topic topic, const std::string &key) const;
    /// Returns the newest records of all keys of a topic.
    RecordPage listing(Topic topic) const;

private:
    struct MirroredTopic
    {
        std::map<std::string, RawRecord> records;
        Offset end;
    };

    std::array<MirroredTopic, TopicCount> m_topics;
};

} // namespace lycheearch
