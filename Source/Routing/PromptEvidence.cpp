#include "Routing/PromptEvidence.h"

#include <algorithm>

namespace lycheearch {

namespace {

template <typename Entry>
void addEntries(std::vector<Entry> &entries, const std::vector<Entry> &others)
{
    for (const Entry &other : others) {
        if (entries.size() >= PromptEvidence::MaxEntries) {
            return;
        }
        entries.push_back(other);
    }
}

/// Adds the parts that are not among \p parts yet: all daemons report the same ones.
void addNewParts(std::vector<CondemnedPart> &parts, const std::vector<CondemnedPart> &others)
{
    for (const CondemnedPart &other : others) {
        const bool known = std::any_of(parts.begin(), parts.end(), [&](const CondemnedPart &part) {
            return part.key == other.key;
        });
        if (!known && parts.size() < PromptEvidence::MaxEntries) {
            parts.push_back(other);
        }
    }
}

} // namespace

void PromptEvidence::add(const PromptEvidence &other)
{
    addEntries(crashes, other.crashes);
    addEntries(successes, other.successes);
    addNewParts(condemned, other.condemned);
}

} // namespace lycheearch
