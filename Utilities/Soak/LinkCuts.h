#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "GuaranteeChecker.h"
#include "SimulatedBackend.h"

namespace lycheearch::soak {

/// Cuts daemons off from all backend servers at once, while their callers, the store and the other
/// daemons still reach them, and checks that their callers are served nevertheless. Each daemon has
/// a link of its own to each server; the link has the number of the daemon plus one.
class LinkCuts
{
public:
    using FaultLog = std::function<void(const std::string &what)>;

    LinkCuts(EventLoop &loop, const std::vector<std::unique_ptr<SimulatedBackend>> &backends,
             GuaranteeChecker &checker, std::mt19937_64 &random, int daemons, FaultLog log);

    /// Host at which a daemon reaches the backend servers and the store.
    static std::string hostOf(int daemon);
    /// First part of the ids of the requests that the callers send to a daemon.
    static std::string idPrefixOf(int daemon);
    /// Cuts off at most half of the daemons for some seconds, unless some are cut off already.
    void cutSome(TimePoint now);
    /// All servers stop answering one after the other for about a second each, to all daemons.
    void silenceServers(TimePoint now);
    void endAll();

private:
    /// How a link is cut.
    enum class Kind {
        Refused, ///< Open connections are closed, new ones refused.
        NewRefused, ///< Open connections live on, new ones are refused.
        Silent, ///< Nothing passes, and attempts to connect get no answer.
    };

    void cut(int daemon, Kind kind);
    void restore(int daemon);
    void end(TimePoint cutAt);

    EventLoop &m_loop;
    const std::vector<std::unique_ptr<SimulatedBackend>> &m_backends;
    GuaranteeChecker &m_checker;
    std::mt19937_64 &m_random;
    int m_daemons;
    FaultLog m_log;
    std::vector<int> m_cutOff;
};

} // namespace lycheearch::soak
