#include "Routing/ServerNotices.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Notices are kept this long, also while the server is missing from the registry: its entry may
/// come back.
constexpr Duration NoticeLifetime = 600s;

bool sameRun(std::int64_t left, std::int64_t right)
{
    return left == right || left == 0 || right == 0;
}

} // namespace

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
