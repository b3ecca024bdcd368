#include "LinkCuts.h"

#include <algorithm>

namespace lycheearch::soak {

namespace {

constexpr Duration CutTime = 7s;
constexpr Duration SilenceTime = 1100ms;
/// How long callers wait for an answer at most.
constexpr Duration AnswerTime = 2500ms;
constexpr std::size_t LinkToAll = 0;

} // namespace

LinkCuts::LinkCuts(EventLoop &loop, const std::vector<std::unique_ptr<SimulatedBackend>> &backends,
                   GuaranteeChecker &checker, std::mt19937_64 &random, int daemons, FaultLog log)
    : m_loop(loop)
    , m_backends(backends)
    , m_checker(checker)
    , m_random(random)
    , m_daemons(daemons)
    , m_log(std::move(log))
{
    for (const auto &backend : m_backends) {
        for (int daemon = 0; daemon < m_daemons; ++daemon) {
            backend->addLink(hostOf(daemon));
        }
    }
}

std::string LinkCuts::hostOf(int daemon)
{
    return "127.0." + std::to_string(daemon + 1) + ".1";
}

std::string LinkCuts::idPrefixOf(int daemon)
{
    return "q" + std::to_string(daemon) + ".";
}

void LinkCuts::cut(int daemon, Kind kind)
{
    const auto link = static_cast<std::size_t>(daemon) + 1;
    for (const auto &backend : m_backends) {
        if (kind == Kind::Silent) {
            backend->silenceLink(link);
        } else {
            backend->refuseLink(link, kind == Kind::NewRefused);
        }
    }
}

void LinkCuts::restore(int daemon)
{
    for (const auto &backend : m_backends) {
        backend->restoreLink(static_cast<std::size_t>(daemon) + 1);
    }
}

void LinkCuts::cutSome(TimePoint now)
{
    if (!m_cutOff.empty()) {
        return;
    }
    const auto kind = static_cast<Kind>(m_random() % 3);
    const int count = 1 + static_cast<int>(m_random() % std::max(1, m_daemons / 2));
    const int first = static_cast<int>(m_random() % static_cast<unsigned>(m_daemons));
    for (int i = 0; i < count; ++i) {
        const int daemon = (first + i) % m_daemons;
        m_cutOff.push_back(daemon);
        cut(daemon, kind);
        m_log("daemon " + std::to_string(daemon) + " is cut off from all backend servers, kind "
              + std::to_string(static_cast<int>(kind)));
    }
    m_checker.suspendTimeLimits(now + CutTime + AnswerTime);
    m_loop.at(now + CutTime, [this, now](TimePoint) { end(now); });
}

void LinkCuts::end(TimePoint cutAt)
{
    std::vector<std::string> prefixes;
    for (const int daemon : m_cutOff) {
        restore(daemon);
        prefixes.push_back(idPrefixOf(daemon));
    }
    m_log("the daemons reach the backend servers again");
    m_loop.at(m_loop.now() + AnswerTime, [this, cutAt, prefixes](TimePoint) {
        m_checker.checkCutOff(prefixes, cutAt, cutAt + CutTime);
        m_cutOff.clear();
    });
}

void LinkCuts::silenceServers(TimePoint now)
{
    const auto gap = std::chrono::milliseconds(m_random() % 1500);
    TimePoint at = now;
    m_log("the backend servers fall silent for a second, one after the other");
    for (const auto &backend : m_backends) {
        m_loop.at(at, [this, &backend = *backend](TimePoint) {
            for (int daemon = 0; daemon < m_daemons; ++daemon) {
                backend.silenceLink(static_cast<std::size_t>(daemon) + 1);
            }
            backend.silenceLink(LinkToAll);
        });
        m_loop.at(at + SilenceTime, [this, &backend = *backend](TimePoint) {
            for (int daemon = 0; daemon < m_daemons; ++daemon) {
                backend.restoreLink(static_cast<std::size_t>(daemon) + 1);
            }
            backend.restoreLink(LinkToAll);
        });
        at += gap;
    }
}

void LinkCuts::endAll()
{
    for (int daemon = 0; daemon < m_daemons; ++daemon) {
        restore(daemon);
    }
}

} // namespace lycheearch::soak
