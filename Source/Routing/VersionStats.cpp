#include "Routing/VersionStats.h"

#include <algorithm>
#include <cmath>

namespace lycheearch {

namespace {

void addCounts(VersionCount &sum, const VersionCount &count)
{
    sum.requests += count.requests;
    sum.errors += count.errors;
    sum.rated += count.rated;
    sum.good += count.good;
    sum.tokens += count.tokens;
    sum.latencySeconds += count.latencySeconds;
}

void scaleCounts(VersionCount &count, double factor)
{
    count.requests *= factor;
    count.errors *= factor;
    count.rated *= factor;
    count.good *= factor;
    count.tokens *= factor;
    count.latencySeconds *= factor;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

VersionCount &VersionStats::ownCount(const TaskClass &taskClass, const VersionId &version)
{
    VersionCount &count = m_ownCounts[{taskClass, version}];
    count.taskClass = taskClass;
    count.version = version;
    return count;
}

void VersionStats::recordAnswer(const TaskClass &taskClass, const VersionId &version, Tokens tokens,
                                Duration latency)
{
    std::lock_guard lock(m_mutex);
    VersionCount &count = ownCount(taskClass, version);
    count.requests += 1;
    count.tokens += static_cast<double>(tokens.value());
    count.latencySeconds += seconds(latency);
}

void VersionStats::recordError(const TaskClass &taskClass, const VersionId &version)
{
    std::lock_guard lock(m_mutex);
    ownCount(taskClass, version).errors += 1;
}

void VersionStats::recordRating(const TaskClass &taskClass, const VersionId &version, bool good)
{
    std::lock_guard lock(m_mutex);
    VersionCount &count = ownCount(taskClass, version);
    count.rated += 1;
    count.good += good ? 1 : 0;
}

std::vector<VersionCount> VersionStats::ownCounts() const
{
    std::lock_guard lock(m_mutex);
    std::vector<VersionCount> counts;
    for (const auto &[key, count] : m_ownCounts) {
        counts.push_back(count);
    }
    return counts;
}

void VersionStats::setPeerCounts(const InstanceId &peer, const std::vector<VersionCount> &counts)
{
    std::lock_guard lock(m_mutex);
    Counts &peerCounts = m_peerCounts[peer];
    peerCounts.clear();
    for (const VersionCount &count : counts) {
        peerCounts[{count.taskClass, count.version}] = count;
    }
}

void VersionStats::removePeer(const InstanceId &peer)
{
    std::lock_guard lock(m_mutex);
    m_peerCounts.erase(peer);
}

VersionCount VersionStats::total(const TaskClass &taskClass, const VersionId &version) const
{
    std::lock_guard lock(m_mutex);
    VersionCount sum{taskClass, version};
    const Key key{taskClass, version};
    const auto addFrom = [&](const Counts &counts) {
        const auto found = counts.find(key);
        if (found != counts.end()) {
            addCounts(sum, found->second);
        }
    };
    addFrom(m_ownCounts);
    for (const auto &[peer, counts] : m_peerCounts) {
        addFrom(counts);
    }
    return sum;
}

VersionCount VersionStats::total(const VersionId &version) const
{
    std::lock_guard lock(m_mutex);
    VersionCount sum;
    sum.version = version;
    const auto addFrom = [&](const Counts &counts) {
        for (const auto &[key, count] : counts) {
            if (key.version == version) {
                addCounts(sum, count);
            }
        }
    };
    addFrom(m_ownCounts);
    for (const auto &[peer, counts] : m_peerCounts) {
        addFrom(counts);
    }
    return sum;
}

void VersionStats::decay(TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (m_decayedAt) {
        const double factor = std::exp2(-seconds(now - *m_decayedAt) / seconds(HalfLife));
        for (auto &[key, count] : m_ownCounts) {
            scaleCounts(count, factor);
        }
    }
    m_decayedAt = now;
}

double wilsonLowerBound(double good, double total, double z)
{
    if (total <= 0) {
        return 0;
    }
    const double share = std::clamp(good / total, 0.0, 1.0);
    const double zz = z * z;
    const double centre = share + zz / (2 * total);
    const double spread = z * std::sqrt((share * (1 - share) + zz / (4 * total)) / total);
    return std::max(0.0, (centre - spread) / (1 + zz / total));
}

} // namespace lycheearch
