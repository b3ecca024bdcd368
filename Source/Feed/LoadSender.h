#pragma once

#include <memory>

#include "Feed/FeedMessages.h"
#include "Fleet/FleetView.h"
#include "Net/EventLoop.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Tells one other data centre what load the daemons of this one put on the backend servers. The
/// first member that it reaches there passes it on.
class LoadSender : public StreamSocketListener
{
public:
    LoadSender(EventLoop &loop, DataCentreId home, DataCentreId target);

    /// Sends \p loads, and connects to one of \p members first if need be.
    void send(const BackendLoads &loads, const std::vector<MemberRegistered> &members,
              TimePoint now);

private:
    void onBytes(std::string_view, TimePoint) override { }
    void onEnd(TimePoint now) override { drop(now); }
    void onError(std::error_code, TimePoint now) override { drop(now); }

    void connect(const std::vector<MemberRegistered> &members, TimePoint now);
    void drop(TimePoint now);

    EventLoop &m_loop;
    DataCentreId m_home;
    DataCentreId m_target;
    std::unique_ptr<StreamSocket> m_socket;
    std::size_t m_nextMember = 0;
    TimePoint m_retryAt;
};

} // namespace lycheearch
