#pragma once

#include <mutex>
#include <set>

#include "Base/Ids.h"

namespace lycheearch {

/// Versions that have bad ratings, but too few to be stopped. Every answer of a suspect is rated.
/// While the rating service is healthy, the planner makes no single-version plan for a suspect; it
/// may still run as a canary, or if no other plan is possible. Thread-safe.
class SuspectVersions
{
public:
    void set(const VersionId &version, bool suspect)
    {
        std::lock_guard lock(m_mutex);
        if (suspect) {
            m_versions.insert(version);
        } else {
            m_versions.erase(version);
        }
    }

    bool contains(const VersionId &version) const
    {
        std::lock_guard lock(m_mutex);
        return m_versions.contains(version);
    }

private:
    mutable std::mutex m_mutex;
    std::set<VersionId> m_versions;
};

} // namespace lycheearch
