#pragma once

#include <functional>
#include <memory>
#include <system_error>
#include <unordered_map>

#include "Base/Endpoint.h"
#include "Feed/FeedMessages.h"
#include "Fleet/FleetFollower.h"
#include "Net/EventLoop.h"

namespace lycheearch {

/// Passes what this daemon reads of the store on to the daemons that follow it, so that few of
/// them need to read. It says with each heartbeat how fresh its knowledge is.
class FeedServer : private IoHandler
{
public:
    /// Receives the evidence of followers.
    using EvidenceCallback = std::function<void(const FeedEvidence &evidence)>;

    FeedServer(EventLoop &loop, const Endpoint &listen, const FleetFollower &follower,
               EvidenceCallback onEvidence, std::error_code &error);
    ~FeedServer() override;

    /// Passes a page that was read from the store to all followers.
    void broadcast(Topic topic, const RecordPage &page, bool listing);
    std::size_t followers() const { return m_links.size(); }

private:
    class Link;

    void onReady(std::uint32_t events, TimePoint now) override;
    void beat(TimePoint now);
    void welcome(Link &link);
    void remove(Link &link);

    EventLoop &m_loop;
    const FleetFollower &m_follower;
    EvidenceCallback m_onEvidence;
    int m_listener = -1;
    TimerId m_timer;
    std::unordered_map<Link *, std::shared_ptr<Link>> m_links;
};

} // namespace lycheearch
