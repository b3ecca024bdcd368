#include "Routing/ServerNotices.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Notices are kept this long, also while the server is missing from the registry: its entry may
/// come back.
constexpr Duration NoticeLifetime = 600s;
/// Time between two messages to the other daemons about the limits of one server, unless they
/// changed.
constexpr Duration LimitsPublishPeriod = 1s;

/// Servers of which notices are kept or summed. A message with more of them is wrong.
constexpr std::size_t MaxServers = 4096;

std::optional<Duration> newestAge(std::optional<Duration> left, std::optional<Duration> right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    return std::min(*left, *right);
}

bool sameRun(std::int64_t left, std::int64_t right)
{
    return left == right || left == 0 || right == 0;
}

} // namespace

void addNewest(std::vector<LimitsNotice> &sum, const std::vector<LimitsNotice> &notices)
{
    for (const LimitsNotice &notice : notices) {
        const auto known = std::find_if(sum.begin(), sum.end(), [&](const LimitsNotice &other) {
            return other.server.id == notice.server.id;
        });
        if (known == sum.end()) {
            if (sum.size() < MaxServers) {
                sum.push_back(notice);
            }
            continue;
        }
        const std::optional<Duration> rejectionAge =
            newestAge(known->rejectionAge, notice.rejectionAge);
        if (notice.age < known->age) {
            *known = notice;
        }
        known->rejectionAge = rejectionAge;
    }
}

ServerNotices::Notice &ServerNotices::noticeOf(const ServerRun &server, TimePoint now)
{
    Notice &notice = m_notices[server.id];
    if (!sameRun(notice.startedAt, server.startedAt)) {
        notice = Notice();
    }
    notice.startedAt = std::max(notice.startedAt, server.startedAt);
    notice.changedAt = now;
    return notice;
}

const ServerNotices::Notice *ServerNotices::find(const ServerRun &server) const
{
    const auto found = m_notices.find(server.id);
    return found != m_notices.end() && sameRun(found->second.startedAt, server.startedAt)
        ? &found->second
        : nullptr;
}

bool ServerNotices::onLeaving(const ServerRun &server, TimePoint now)
{
    Notice &notice = noticeOf(server, now);
    const bool isNew = notice.leavingSince == TimePoint();
    if (isNew) {
        notice.leavingSince = now;
    }
    return isNew;
}

void ServerNotices::onPauseRequested(const ServerRun &server, Duration pause, TimePoint now)
{
    Notice &notice = noticeOf(server, now);
    notice.pausedUntil = std::max(notice.pausedUntil, now + std::min(pause, LongestPause));
}

bool ServerNotices::onRateLimit(const ServerRun &server, std::optional<double> perSecond,
                                TimePoint now)
{
    const Notice *known = find(server);
    if (!perSecond && (known == nullptr || !known->rateLimit)) {
        return false;
    }
    Notice &notice = noticeOf(server, now);
    const bool changed = notice.rateLimit != perSecond;
    notice.rateLimit = perSecond;
    noteStatement(notice, changed, now);
    return changed;
}

void ServerNotices::noteStatement(Notice &notice, bool changed, TimePoint now)
{
    notice.limitsSaidAt = now;
    notice.limitsUnpublished = true;
    if (changed) {
        notice.limitsPublishedAt = TimePoint();
    }
}

bool ServerNotices::onBrittle(const ServerRun &server, std::optional<double> maxRejections,
                              TimePoint now)
{
    const Notice *known = find(server);
    if (!maxRejections && (known == nullptr || !known->maxRejections)) {
        return false;
    }
    Notice &notice = noticeOf(server, now);
    const bool changed = notice.maxRejections != maxRejections;
    notice.maxRejections = maxRejections;
    noteStatement(notice, changed, now);
    return changed;
}

void ServerNotices::onRejected(const ServerRun &server, TimePoint now)
{
    const Notice *known = find(server);
    if (known == nullptr || !known->maxRejections) {
        return;
    }
    Notice &notice = noticeOf(server, now);
    notice.rejectedAt = now;
    notice.limitsUnpublished = true;
    notice.limitsPublishedAt = TimePoint();
}

void ServerNotices::apply(const LimitsNotice &reported, TimePoint now)
{
    const TimePoint saidAt = now - std::max(reported.age, Duration::zero());
    const auto found = m_notices.find(reported.server.id);
    const bool laterRun = found != m_notices.end() && reported.server.startedAt != 0
        && found->second.startedAt > reported.server.startedAt;
    if (laterRun || (found == m_notices.end() && m_notices.size() >= MaxServers)) {
        return;
    }
    Notice &notice = noticeOf(reported.server, now);
    if (saidAt > notice.limitsSaidAt) {
        notice.rateLimit = reported.perSecond;
        notice.maxRejections = reported.maxRejections;
        notice.limitsSaidAt = saidAt;
    }
    if (reported.rejectionAge) {
        const TimePoint rejectedAt = now - std::max(*reported.rejectionAge, Duration::zero());
        notice.rejectedAt = std::max(notice.rejectedAt, rejectedAt);
    }
}

std::vector<LimitsNotice> ServerNotices::takeUnpublished(TimePoint now)
{
    std::vector<LimitsNotice> unpublished;
    for (auto &[id, notice] : m_notices) {
        if (notice.limitsUnpublished && now - notice.limitsPublishedAt >= LimitsPublishPeriod) {
            notice.limitsUnpublished = false;
            notice.limitsPublishedAt = now;
            unpublished.push_back({{id, notice.startedAt},
                                   notice.rateLimit,
                                   now - notice.limitsSaidAt,
                                   notice.maxRejections,
                                   notice.rejectedAt == TimePoint()
                                       ? std::nullopt
                                       : std::optional(now - notice.rejectedAt)});
        }
    }
    return unpublished;
}

bool ServerNotices::leaving(const ServerRun &server) const
{
    const Notice *notice = find(server);
    return notice != nullptr && notice->leavingSince != TimePoint();
}

Duration ServerNotices::pauseLeft(const ServerRun &server, TimePoint now) const
{
    const Notice *notice = find(server);
    return notice == nullptr ? Duration::zero()
                             : std::max(Duration::zero(), Duration(notice->pausedUntil - now));
}

std::optional<double> ServerNotices::rateLimit(const ServerRun &server) const
{
    const Notice *notice = find(server);
    return notice == nullptr ? std::nullopt : notice->rateLimit;
}

std::optional<double> ServerNotices::maxRejections(const ServerRun &server) const
{
    const Notice *notice = find(server);
    return notice == nullptr ? std::nullopt : notice->maxRejections;
}

TimePoint ServerNotices::lastRejection(const ServerRun &server) const
{
    const Notice *notice = find(server);
    return notice == nullptr ? TimePoint() : notice->rejectedAt;
}

std::vector<InstanceId> ServerNotices::leavingServers() const
{
    std::vector<InstanceId> servers;
    for (const auto &[id, notice] : m_notices) {
        if (notice.leavingSince != TimePoint()) {
            servers.push_back(id);
        }
    }
    return servers;
}

void ServerNotices::prune(TimePoint now)
{
    std::erase_if(m_notices, [&](const auto &entry) {
        return now - entry.second.changedAt > NoticeLifetime && entry.second.pausedUntil <= now;
    });
}

} // namespace lycheearch
