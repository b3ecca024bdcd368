#include "Routing/BackendLoads.h"

#include <algorithm>

namespace lycheearch {

void addLoads(BackendLoads &sum, const BackendLoads &addend)
{
    for (const auto &[id, load] : addend) {
        BackendLoadShare &entry = sum[id];
        for (int i = 0; i < UrgencyClassCount; ++i) {
            entry.tokens[i] += load.tokens[i];
        }
        entry.requests += load.requests;
        entry.unreachable += load.unreachable;
        entry.leaving += load.leaving;
    }
}

void subtractLoads(BackendLoads &sum, const BackendLoads &subtrahend)
{
    for (const auto &[id, load] : subtrahend) {
        const auto found = sum.find(id);
        if (found != sum.end()) {
            for (int i = 0; i < UrgencyClassCount; ++i) {
                double &tokens = found->second.tokens[i];
                tokens = std::max(0.0, tokens - load.tokens[i]);
            }
            found->second.requests = std::max(0, found->second.requests - load.requests);
            found->second.unreachable = std::max(0, found->second.unreachable - load.unreachable);
            found->second.leaving = std::max(0, found->second.leaving - load.leaving);
        }
    }
}

BackendLoads changedLoads(const BackendLoads &before, const BackendLoads &after)
{
    BackendLoads changed;
    auto old = before.begin();
    for (const auto &[id, load] : after) {
        for (; old != before.end() && old->first < id; ++old) {
            changed.emplace_hint(changed.end(), old->first, BackendLoadShare());
        }
        const bool known = old != before.end() && old->first == id;
        if (!known || old->second != load) {
            changed.emplace_hint(changed.end(), id, load);
        }
        if (known) {
            ++old;
        }
    }
    for (; old != before.end(); ++old) {
        changed.emplace_hint(changed.end(), old->first, BackendLoadShare());
    }
    return changed;
}

void applyChangedLoads(BackendLoads &loads, const BackendLoads &changes)
{
    for (const auto &[id, load] : changes) {
        if (load == BackendLoadShare()) {
            loads.erase(id);
        } else {
            loads[id] = load;
        }
    }
}

} // namespace lycheearch
