#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// A daemon that reaches no backend server of some services.
struct CutOffDaemon
{
    InstanceId daemon;
    std::vector<ServiceId> services;

    bool operator==(const CutOffDaemon &) const = default;
};

/// How a request that was passed to another daemon ended, by what it says about that daemon.
enum class PeerOutcome {
    Answered,
    Declined, ///< It can't serve the request, and another daemon may.
    Lost, ///< No connection, or none any more.
    Cancelled, ///< By the caller or this daemon.
};

/// Chooses the daemon through which a request is served whose service this daemon does not reach.
/// It answers the load of several cut-off daemons, or of a whole data centre of them, before few
/// others: it prefers the own data centre, since bytes between data centres have a price, but not
/// to the point where its daemons get all requests, and never asks one that is cut off itself.
class PeerSelector
{
public:
    PeerSelector(InstanceId self, DataCentreId ownDataCentre);

    /// Sets the registered daemons.
    void setMembers(std::vector<MemberRegistered> members);
    /// Returns a daemon for a request, or std::nullopt if there is none. \p requestHash spreads
    /// requests over equal daemons, \p tried is not chosen again.
    std::optional<MemberRegistered> choose(const ServiceId &service,
                                           const std::set<InstanceId> &tried,
                                           std::uint64_t requestHash, TimePoint now) const;
    void onSent(const InstanceId &peer);
    void onEnded(const InstanceId &peer, PeerOutcome outcome, TimePoint now);
    /// Sets which daemons are cut off from servers, this one included.
    void setCutOff(const std::vector<CutOffDaemon> &daemons, TimePoint now);

private:
    struct Peer
    {
        int inFlight = 0; ///< Requests of this daemon.
        TimePoint excludedUntil;
    };

    bool cutOff(const InstanceId &daemon, const ServiceId &service, TimePoint now) const;

    InstanceId m_self;
    DataCentreId m_ownDataCentre;
    std::vector<MemberRegistered> m_members; ///< Those that take requests of others.
    std::map<InstanceId, Peer> m_peers;
    std::map<InstanceId, std::set<ServiceId>> m_cutOff;
    TimePoint m_cutOffAt;
};

} // namespace lycheearch
