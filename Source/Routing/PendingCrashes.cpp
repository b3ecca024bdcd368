#include "Routing/PendingCrashes.h"

#include <set>

namespace lycheearch {

namespace {

/// After this time a loss is decided, whether or not a server was reached.
constexpr Duration DecisionTime = 1s;
constexpr std::size_t MaxLosses = 512;

} // namespace

PendingCrashes::PendingCrashes(CrashTable &table, const ServiceReach &reach)
    : m_table(table)
    , m_reach(reach)
{
}

void PendingCrashes::add(const ServiceId &service, const InstanceId &server, RequestCrash crash,
                         TimePoint now)
{
    if (m_losses.size() >= MaxLosses) {
        m_losses.erase(m_losses.begin());
    }
    m_losses.push_back({service, server, std::move(crash), now});
    if (m_onUndecided) {
        m_onUndecided(server);
    }
}

void PendingCrashes::withdraw(std::uint64_t request)
{
    std::erase_if(m_losses, [&](const Loss &loss) {
        return loss.crash.parts.empty() && loss.crash.request == request;
    });
    m_table.withdrawCrashes(request);
}

void PendingCrashes::settle(TimePoint now)
{
    std::erase_if(m_losses, [&](const Loss &loss) { return settle(loss, now); });
}

bool PendingCrashes::settle(const Loss &loss, TimePoint now)
{
    const bool linksWork = m_reach.reachedAnother(loss.server, loss.at);
    if (!linksWork && now - loss.at < DecisionTime) {
        return false;
    }
    if (linksWork || !m_reach.cutOff(loss.service)) {
        m_table.recordCrash(loss.crash, loss.at);
    }
    return true;
}

std::size_t PendingCrashes::serversEndedUnder(std::uint64_t account,
                                              const RequestIdentity &identity) const
{
    std::set<std::uint64_t> servers;
    for (const Loss &loss : m_losses) {
        if (loss.crash.account == account && loss.crash.identity.content == identity.content) {
            servers.insert(loss.crash.server);
        }
    }
    return servers.size() + m_table.serversEndedUnder(account, identity);
}

} // namespace lycheearch
