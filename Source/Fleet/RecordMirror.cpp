#include "Fleet/RecordMirror.h"

#include <algorithm>

namespace lycheearch {

void RecordMirror::replace(Topic topic, const RecordPage &listing)
{
    clear(topic);
    apply(topic, listing);
}

void RecordMirror::clear(Topic topic)
{
    m_topics.at(static_cast<std::size_t>(topic)) = MirroredTopic();
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

const RawRecord *RecordMirror::find(Topic topic, const std::string &key) const
{
    const MirroredTopic &mirrored = m_topics.at(static_cast<std::size_t>(topic));
    const auto found = mirrored.records.find(key);
    return found == mirrored.records.end() ? nullptr : &found->second;
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
