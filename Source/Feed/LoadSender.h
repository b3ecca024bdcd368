#pragma once

#include <map>
#include <memory>

#include "Feed/FeedMessages.h"
#include "Fleet/FleetView.h"
#include "Net/EventLoop.h"
#include "Net/StreamSocket.h"

namespace lycheearch {

/// Sends the load that the daemons of this data centre put on the backend servers to another data
/// centre: to its first reachable member, whose feed the other daemons there follow.
class LoadSender : public StreamSocketListener
{
public:
    explicit LoadSender(EventLoop &loop);

    /// Sends \p frame, the encoded load, to the first of \p members that did not fail recently, and
    /// connects to it if necessary.
    void send(std::string_view frame, const std::vector<MemberRegistered> &members, TimePoint now);

private:
    void onBytes(std::string_view, TimePoint) override { }
    void onEnd(TimePoint now) override { drop(now); }
    void onError(std::error_code, TimePoint now) override { drop(now); }

    void connect(const MemberRegistered &member, TimePoint now);
    void drop(TimePoint now);
    void closeSocket();

    EventLoop &m_loop;
    std::unique_ptr<StreamSocket> m_socket;
    InstanceId m_receiver;
    std::map<InstanceId, TimePoint> m_backoffUntil;
};

} // namespace lycheearch
