#pragma once

#include <mutex>
#include <set>

#include "Base/Ids.h"

namespace lycheearch {

/// Versions with bad ratings that are too few to stop them. Every answer of a suspect is rated, and
/// it does not run alone. Safe for use by many threads.
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
