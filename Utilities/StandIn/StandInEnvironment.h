#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Journal.h"
#include "StandInBackend.h"
#include "StandInLog.h"

namespace lycheearch::standin {

/// A daemon or backend server in the instance list that the stand-in serves. The kind of a daemon
/// is "entry".
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

/// Share of a version's answers that the rating service scores as good, from 0 to 1.
struct RatedVersion
{
    std::string id;
    double quality = 0.95;
};

/// The simulated environment of the daemons: the state of the platform's services and of the
/// backend servers, built from a YAML description.
class StandInEnvironment
{
public:
    /// Reads the description in the YAML file \p path. Throws std::runtime_error with the findings
    /// if it is invalid.
    explicit StandInEnvironment(const std::string &path);

    std::uint16_t platformPort() const { return m_platformPort; }
    StandInLog &log() { return m_log; }
    Journal &journal() { return m_journal; }
    Faults &faults() { return m_faults; }
    const std::vector<std::unique_ptr<StandInBackend>> &backends() const { return m_backends; }
    /// Returns null if there is no such backend server.
    StandInBackend *findBackend(const std::string &id);

    /// Returns the instance list as JSON text.
    std::string instanceListText() const;
    /// Adds an instance to the list, or replaces the one with the same id.
    void setInstance(const ListedInstance &instance);
    void removeInstance(const std::string &id);
    void setLeaving(const std::string &id, bool leaving);

    /// Score of the rating service: 1 (good) or 0. It depends only on the request, the version and
    /// the version's quality, so that repeated ratings agree.
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
