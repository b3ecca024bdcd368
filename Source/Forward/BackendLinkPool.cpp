#include "Forward/BackendLinkPool.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Share of the server's idle timeout after which a connection is no longer reused.
constexpr double IdleShare = 0.6;

} // namespace

BackendLinkPool::BackendLinkPool(EventLoop &loop, BackendLink::Limits limits)
    : m_loop(loop)
    , m_limits(limits)
{
}

bool BackendLinkPool::usable(const BackendLink &link, Duration longestIdle, TimePoint now)
{
    const auto serverLimit =
        std::chrono::duration_cast<Duration>(link.serverIdleTimeout() * IdleShare);
    return link.reusable() && now - link.idleSince() < std::min(longestIdle, serverLimit);
}

std::unique_ptr<BackendLink> BackendLinkPool::acquire(const InstanceId &id, const Endpoint &address,
                                                      Duration longestIdle, TimePoint now,
                                                      std::error_code &error)
{
    std::vector<std::unique_ptr<BackendLink>> &links = m_idle[id];
    while (!links.empty() && !links.back()->reusable()) {
        links.pop_back();
    }
    if (!links.empty() && usable(*links.back(), longestIdle, now)) {
        std::unique_ptr<BackendLink> link = std::move(links.back());
        links.pop_back();
        return link;
    }
    ++m_opened;
    return BackendLink::open(m_loop, address, m_limits, error);
}

void BackendLinkPool::release(const InstanceId &id, std::unique_ptr<BackendLink> link)
{
    if (link->reusable()) {
        m_idle[id].push_back(std::move(link));
    } else {
        discard(std::move(link));
    }
}

void BackendLinkPool::discard(std::unique_ptr<BackendLink> link)
{
    link->abort();
    m_loop.defer([dead = std::shared_ptr<BackendLink>(std::move(link))] {});
}

} // namespace lycheearch
