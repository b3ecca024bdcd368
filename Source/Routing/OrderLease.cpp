#include "Routing/OrderLease.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    return nlohmann::json{{"data_centre", record.dataCentre.value()},
                          {"holder", record.holder.value()},
                          {"start_id", record.startId.value()},
                          {"previous", record.previous.value()}}
        .dump();
}

std::optional<LeaseRecord> decodeLeaseRecord(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return LeaseRecord{DataCentreId(json.at("data_centre").get<std::string>()),
                           InstanceId(json.at("holder").get<std::string>()),
                           StartId(json.at("start_id").get<std::string>()),
                           Offset(json.at("previous").get<std::int64_t>())};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

OrderLease::OrderLease(DataCentreId dataCentre, InstanceId self, StartId startId)
    : m_dataCentre(std::move(dataCentre))
    , m_self(std::move(self))
    , m_startId(std::move(startId))
{
}

bool OrderLease::isOwnRecord(const LeaseRecord &record) const
{
    return record.holder == m_self && record.startId == m_startId;
}

void OrderLease::applyRecord(Offset offset, const LeaseRecord &record, TimePoint now)
{
    if (record.dataCentre != m_dataCentre || record.previous != m_currentOffset) {
        return;
    }
    const bool wasHolder = m_currentRecord && isOwnRecord(*m_currentRecord);
    m_currentRecord = record;
    m_currentOffset = offset;
    m_currentReadAt = now;
    if (!isOwnRecord(record)) {
        m_termStart.reset();
        m_heldSince.reset();
        return;
    }
    m_termStart = m_ownRecordCreatedAt;
    if (!wasHolder || !m_heldSince) {
        m_heldSince = now;
        m_fencingToken = offset;
    }
}

std::optional<LeaseRecord> OrderLease::recordToAppend(TimePoint now)
{
    const bool isHolder = m_currentRecord && isOwnRecord(*m_currentRecord);
    const bool renew = isHolder && now - m_currentReadAt >= RenewalInterval;
    const bool acquire = !isHolder && (!m_currentRecord || now - m_currentReadAt >= Term);
    const bool createdRecently =
        m_ownRecordCreatedAt && now - *m_ownRecordCreatedAt < RenewalInterval;
    if ((!renew && !acquire) || createdRecently) {
        return std::nullopt;
    }
    m_ownRecordCreatedAt = now;
    return LeaseRecord{m_dataCentre, m_self, m_startId, m_currentOffset};
}

bool OrderLease::holds(TimePoint now) const
{
    return m_termStart && now - *m_termStart < Term - SafetyMargin;
}

std::optional<TimePoint> OrderLease::heldSince() const
{
    return m_heldSince;
}

} // namespace lycheearch
