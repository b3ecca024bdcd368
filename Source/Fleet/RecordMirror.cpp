#include "Fleet/RecordMirror.h"

#include <algorithm>

namespace lycheearch {

void RecordMirror::replace(Topic topic, const RecordPage &listing)
{
    MirroredTopic &mirrored = m_topics.at(static_cast<std::size_t>(topic));
    mirrored.records.clear();
    apply(topic, listing);
}

void RecordMirror::apply(Topic topic, const RecordPage &page)
{
    MirroredTopic &mirrored = m_topics.at(static_cast<std::size_t>(topic));
    for (const RawRecord &record : page.records) {
        if (record.value.empty()) {
            mirrored.records.erase(record.key);
        } else {
            mirrored.records[record.key] = record;
        }
    }
    mirrored.end = std::max(mirrored.end, page.end);
}

RecordPage RecordMirror::listing(Topic topic) const
{
    const MirroredTopic &mirrored = m_topics.at(static_cast<std::size_t>(topic));
    RecordPage page;
    page.end = mirrored.end;
    for (const auto &[key, record] : mirrored.records) {
        page.records.push_back(record);
    }
    return page;
}

} // namespace lycheearch
