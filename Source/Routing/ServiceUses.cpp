#include "Routing/ServiceUses.h"

#include <algorithm>

namespace lycheearch {

void addUses(ServiceUses &sum, const ServiceUses &addend)
{
    for (const auto &[key, use] : addend) {
        AccountUse &entry = sum[key];
        entry.admitted += use.admitted;
        entry.refused += use.refused;
    }
}

void subtractUses(ServiceUses &sum, const ServiceUses &subtrahend)
{
    for (const auto &[key, use] : subtrahend) {
        const auto found = sum.find(key);
        if (found != sum.end()) {
            found->second.admitted = std::max(0.0, found->second.admitted - use.admitted);
            found->second.refused = std::max(0.0, found->second.refused - use.refused);
        }
    }
}

} // namespace lycheearch
