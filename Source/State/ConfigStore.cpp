#include "State/ConfigStore.h"

#include <algorithm>

namespace lycheearch {

ConfigStatePtr ConfigStore::current() const
{
    std::lock_guard lock(m_mutex);
    return m_stateMachine.state();
}

bool ConfigStore::applyRecords(const std::vector<LogRecord> &records, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    bool changed = false;
    for (const LogRecord &record : records) {
        changed = m_stateMachine.apply(record.offset, record.data) || changed;
    }
    m_confirmedAt = now;
    if (changed) {
        dropLoggedProvisional();
        reapplyProvisional();
    }
    return changed;
}

bool ConfigStore::applySnapshot(const std::string &snapshot, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (!m_stateMachine.restoreSnapshot(snapshot)) {
        return false;
    }
    m_confirmedAt = now;
    dropLoggedProvisional();
    reapplyProvisional();
    return true;
}

std::string ConfigStore::encodeSnapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_stateMachine.encodeSnapshot();
}

bool ConfigStore::addProvisional(const std::string &data)
{
    const std::optional<ConfigRecord> record = decodeConfigRecord(data);
    if (!record) {
        return false;
    }
    std::lock_guard lock(m_mutex);
    const auto same = [&](const ConfigRecord &existing) {
        return existing.operation == record->operation;
    };
    if (std::any_of(m_provisional.begin(), m_provisional.end(), same)) {
        return false;
    }
    if (!m_stateMachine.applyProvisional(*record)) {
        return false;
    }
    m_provisional.push_back(*record);
    return true;
}

std::vector<std::string> ConfigStore::provisional() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> encoded;
    for (const ConfigRecord &record : m_provisional) {
        encoded.push_back(encodeConfigRecord(record));
    }
    return encoded;
}

std::optional<Duration> ConfigStore::age(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    return now - *m_confirmedAt;
}

void ConfigStore::confirm(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_confirmedAt = now;
}

void ConfigStore::dropLoggedProvisional()
{
    std::erase_if(m_provisional, [this](const ConfigRecord &record) {
        return m_stateMachine.state()->outcomes.contains(record.operation);
    });
}

void ConfigStore::reapplyProvisional()
{
    for (const ConfigRecord &record : m_provisional) {
        m_stateMachine.applyProvisional(record);
    }
}

} // namespace lycheearch
