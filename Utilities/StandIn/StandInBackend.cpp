#include "StandInBackend.h"

#include <nlohmann/json.hpp>

namespace lycheearch::standin {

StandInBackend::StandInBackend(BackendSpec spec, Journal &journal)
    : m_spec(std::move(spec))
    , m_journal(journal)
    , m_versions(m_spec.versions)
    , m_warmUpRequestsLeft(m_spec.startsCold ? m_spec.warmUpRequests : 0)
{
}

std::string StandInBackend::startId() const
{
    return m_spec.id + "-" + std::to_string(m_startCount);
}

std::string StandInBackend::report() const
{
    std::lock_guard lock(m_mutex);
    return nlohmann::json{{"start_id", startId()},
                          {"cold", m_warmUpRequestsLeft > 0},
                          {"in_flight", m_inFlight},
                          {"queued", 0},
                          {"versions", m_versions}}
        .dump();
}

bool StandInBackend::begin(JournalEntry entry)
{
    std::lock_guard lock(m_mutex);
    const bool cold = m_warmUpRequestsLeft > 0;
    if (!cold && m_inFlight >= m_spec.warmLimit) {
        return false;
    }
    ++m_inFlight;
    entry.backend = m_spec.id;
    entry.dataCentre = m_spec.dataCentre;
    entry.inFlight = m_inFlight;
    entry.cold = cold;
    entry.overColdLimit = cold && m_inFlight > m_spec.coldLimit;
    m_journal.add(std::move(entry));
    return true;
}

void StandInBackend::end()
{
    std::lock_guard lock(m_mutex);
    --m_inFlight;
    if (m_warmUpRequestsLeft > 0) {
        --m_warmUpRequestsLeft;
    }
}

void StandInBackend::restartCold()
{
    std::lock_guard lock(m_mutex);
    ++m_startCount;
    m_warmUpRequestsLeft = m_spec.warmUpRequests;
}

bool StandInBackend::isLoaded(const std::string &version) const
{
    std::lock_guard lock(m_mutex);
    return m_versions.contains(version);
}

std::string StandInBackend::order(const std::string &order, const std::string &version,
                                  std::int64_t fence)
{
    std::lock_guard lock(m_mutex);
    if (fence < m_newestFence) {
        return "outdated fencing number";
    }
    m_newestFence = fence;
    if (order == "load") {
        m_versions.insert(version);
    } else {
        m_versions.erase(version);
    }
    return "";
}

} // namespace lycheearch::standin
