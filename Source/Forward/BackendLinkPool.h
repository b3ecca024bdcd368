#pragma once

#include <map>
#include <memory>
#include <vector>

#include "Base/Ids.h"
#include "Forward/BackendLink.h"

namespace lycheearch {

/// Keeps idle links to backend servers for the requests that follow.
class BackendLinkPool
{
public:
    BackendLinkPool(EventLoop &loop, BackendLink::Limits limits);

    /// A kept link that has been idle for \p longestIdle at most, or a new one. Returns null and
    /// sets \p error if no socket can be had.
    std::unique_ptr<BackendLink> acquire(const InstanceId &id, const Endpoint &address,
                                         Duration longestIdle, TimePoint now,
                                         std::error_code &error);
    /// Takes back a link whose answer is complete, if another request may follow on it.
    void release(const InstanceId &id, std::unique_ptr<BackendLink> link);
    /// Ends a link. It is destroyed later, since it may be further up the call stack.
    void discard(std::unique_ptr<BackendLink> link);
    /// Closes links that the server will close soon, and all of servers that are not \p wanted.
    template <typename Wanted>
    void sweep(TimePoint now, Wanted wanted)
    {
        for (auto &[id, links] : m_idle) {
            const bool keep = wanted(id);
            std::erase_if(links, [&](const std::unique_ptr<BackendLink> &link) {
                return !keep || !usable(*link, LongestIdle, now);
            });
        }
        std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
    }
    std::int64_t opened() const { return m_opened; }

private:
    static constexpr Duration LongestIdle = 30s;

    static bool usable(const BackendLink &link, Duration longestIdle, TimePoint now);

    EventLoop &m_loop;
    BackendLink::Limits m_limits;
    std::map<InstanceId, std::vector<std::unique_ptr<BackendLink>>> m_idle; ///< Newest last.
    std::int64_t m_opened = 0;
};

} // namespace lycheearch
