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

} // namespace lycheearch
