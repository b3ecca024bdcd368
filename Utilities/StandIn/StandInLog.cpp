#include "StandInLog.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace lycheearch::standin {

std::int64_t StandInLog::append(const std::string &stream, const std::vector<std::string> &records)
{
    std::int64_t first = 0;
    {
        std::lock_guard lock(m_mutex);
        Stream &target = m_streams[stream];
        first = target.firstOffset + static_cast<std::int64_t>(target.records.size());
        target.records.insert(target.records.end(), records.begin(), records.end());
        ++m_appends;
    }
    m_appended.notify_all();
    return first;
}

std::string StandInLog::read(const std::string &stream, std::int64_t from, std::size_t maxRecords,
                             Duration wait)
{
    std::unique_lock lock(m_mutex);
    const auto nextOffset = [&] {
        const Stream &source = m_streams[stream];
        return source.firstOffset + static_cast<std::int64_t>(source.records.size());
    };
    m_appended.wait_for(lock, wait, [&] { return nextOffset() > from; });
    const Stream &source = m_streams[stream];
    nlohmann::json records = nlohmann::json::array();
    const std::int64_t start = std::max(from, source.firstOffset);
    for (std::int64_t offset = start; offset < nextOffset() && records.size() < maxRecords;
         ++offset) {
        records.push_back(
            {{"offset", offset},
             {"data", source.records[static_cast<std::size_t>(offset - source.firstOffset)]}});
    }
    return nlohmann::json{
        {"records", records}, {"first_offset", source.firstOffset}, {"next_offset", nextOffset()}}
        .dump();
}

void StandInLog::truncate(const std::string &stream, std::size_t keep)
{
    std::lock_guard lock(m_mutex);
    Stream &target = m_streams[stream];
    while (target.records.size() > keep) {
        target.records.pop_front();
        ++target.firstOffset;
    }
}

std::int64_t StandInLog::appends() const
{
    std::lock_guard lock(m_mutex);
    return m_appends;
}

} // namespace lycheearch::standin
