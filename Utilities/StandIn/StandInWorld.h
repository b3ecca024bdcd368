#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Journal.h"
#include "StandInBackend.h"
#include "StandInLog.h"

namespace lycheearch::standin {

/// One line of the instance list that the stand-in gives out.
struct ListedInstance
{
    std::string id;
    std::string kind;
    std::string dataCentre;
    std::string address;
    std::string peerAddress;
    std::string backendClass;
    std::string service;
    bool leaving = false;
};

/// How good the answers of a version are, as the rating service judges them.
struct RatedVersion
{
    std::string id;
    double quality = 0.95;
};

/// All that the stand-in plays: the platform's services and the backend servers.
class StandInWorld
{
public:
    /// Reads the description of the world. Throws std::runtime_error with the findings.
    explicit StandInWorld(const std::string &path);

    std::uint16_t platformPort() const { return m_platformPort; }
    StandInLog &log() { return m_log; }
    Journal &journal() { return m_journal; }
    Faults &faults() { return m_faults; }
    const std::vector<std::unique_ptr<StandInBackend>> &backends() const { return m_backends; }
    StandInBackend *findBackend(const std::string &id);

    std::string instanceListText() const;
    /// Adds, changes or, with an empty kind, removes a line of the instance list.
    void setInstance(const ListedInstance &instance);
    void removeInstance(const std::string &id);
    void setLeaving(const std::string &id, bool leaving);

    /// The score that the rating service gives.
    double score(const std::string &request, const std::string &version) const;
    void setQuality(const std::string &version, double quality);

private:
    std::uint16_t m_platformPort = 0;
    StandInLog m_log;
    Journal m_journal;
    Faults m_faults;
    std::vector<std::unique_ptr<StandInBackend>> m_backends;
    mutable std::mutex m_mutex;
    std::vector<ListedInstance> m_instances;
    std::vector<RatedVersion> m_versions;
};

} // namespace lycheearch::standin
