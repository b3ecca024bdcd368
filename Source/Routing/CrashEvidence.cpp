#include "Routing/CrashEvidence.h"

#include <algorithm>

namespace lycheearch {

namespace {

template <typename Entry>
void addEntries(std::vector<Entry> &entries, const std::vector<Entry> &others)
{
    for (const Entry &other : others) {
        if (entries.size() >= CrashEvidence::MaxEntries) {
            return;
        }
        entries.push_back(other);
    }
}

/// Adds the parts that are not among \p parts yet: all daemons report the same ones.
void addNewParts(std::vector<CondemnedSuspect> &parts, const std::vector<CondemnedSuspect> &others)
{
    for (const CondemnedSuspect &other : others) {
        const bool known =
            std::any_of(parts.begin(), parts.end(),
                        [&](const CondemnedSuspect &part) { return part.key == other.key; });
        if (!known && parts.size() < CrashEvidence::MaxEntries) {
            parts.push_back(other);
        }
    }
}

} // namespace

void CrashEvidence::add(const CrashEvidence &other)
{
    addEntries(crashes, other.crashes);
    addEntries(successes, other.successes);
    addNewParts(condemned, other.condemned);
}

} // namespace lycheearch
