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

bool OrderLease::isMine(const LeaseRecord &record) const
{
    return record.holder == m_self && record.startId == m_startId;
}

void OrderLease::fold(Offset offset, const LeaseRecord &record, TimePoint now)
{
    if (record.dataCentre != m_dataCentre || record.previous != m_currentOffset) {
        return;
    }
    const bool wasMine = m_current && isMine(*m_current);
    m_current = record;
    m_currentOffset = offset;
    m_readAt = now;
    if (!isMine(record)) {
        m_termFrom.reset();
        m_heldSince.reset();
        return;
    }
    m_termFrom = m_askedAt;
    if (!wasMine || !m_heldSince) {
        m_heldSince = now;
        m_fence = offset;
    }
}

std::optional<LeaseRecord> OrderLease::wanted(TimePoint now)
{
    const bool mine = m_current && isMine(*m_current);
    const bool renew = mine && now - m_readAt >= Renewal;
    const bool challenge = !mine && (!m_current || now - m_readAt >= Term);
    const bool askedLately = m_askedAt && now - *m_askedAt < Renewal;
    if ((!renew && !challenge) || askedLately) {
        return std::nullopt;
    }
    m_askedAt = now;
    return LeaseRecord{m_dataCentre, m_self, m_startId, m_currentOffset};
}

bool OrderLease::holds(TimePoint now) const
{
    return m_termFrom && now - *m_termFrom < Term - SafetyMargin;
}

std::optional<TimePoint> OrderLease::heldSince() const
{
    return m_heldSince;
}

} // namespace lycheearch
