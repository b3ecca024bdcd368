#pragma once

#include <functional>
#include <vector>

#include "Routing/CrashTable.h"
#include "Routing/ServiceReach.h"

namespace lycheearch {

/// Holds back the connections that this daemon lost under requests until it is known whether the
/// servers ended or its own links were cut: CrashTable would have sound requests refused by all
/// daemons. A loss counts as a crash once another server, of any service, has been reached
/// afterwards, and not at all if none is while the service is cut off.
class PendingCrashes
{
public:
    /// Called when a loss is undecided, so that the owner can try to reach another server soon.
    using UndecidedCallback = std::function<void(const InstanceId &server)>;

    PendingCrashes(CrashTable &table, const ServiceReach &reach);

    void onUndecided(UndecidedCallback callback) { m_onUndecided = std::move(callback); }
    void add(const ServiceId &service, const InstanceId &server, RequestCrash crash, TimePoint now);
    /// Drops the losses without an answer of a request that was served after all.
    void withdraw(std::uint64_t request);
    /// Passes on or drops the losses that can be decided now.
    void settle(TimePoint now);
    /// Number of servers that ended under the request as far as known, undecided losses included.
    std::size_t serversEndedUnder(std::uint64_t account, const RequestIdentity &identity) const;

private:
    struct Loss
    {
        ServiceId service;
        InstanceId server;
        RequestCrash crash;
        TimePoint at;
    };

    /// Returns whether the loss is decided.
    bool settle(const Loss &loss, TimePoint now);

    CrashTable &m_table;
    const ServiceReach &m_reach;
    UndecidedCallback m_onUndecided;
    std::vector<Loss> m_losses;
};

} // namespace lycheearch
