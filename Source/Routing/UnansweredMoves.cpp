#include "Routing/UnansweredMoves.h"

#include <algorithm>

namespace lycheearch {

namespace {

constexpr int MovesOfHangingServer = 2;
/// Two requests say something together only if the second was sent at most this long after the
/// first was moved: the server may have answered other daemons in between.
constexpr Duration LongestPause = 2s;
/// Servers that are remembered; more only if servers come and go.
constexpr std::size_t MaxServers = 10'000;

} // namespace

bool UnansweredMoves::onMoved(const InstanceId &server, TimePoint sentAt, TimePoint now)
{
    if (m_silences.size() >= MaxServers) {
        m_silences.clear();
    }
    Silence &silence = m_silences[server];
    if (silence.moves > 0 && sentAt > silence.lastMovedAt + LongestPause) {
        silence = Silence();
    }
    silence.lastMovedAt = now;
    silence.since = silence.moves == 0 ? sentAt : std::min(silence.since, sentAt);
    return ++silence.moves >= MovesOfHangingServer;
}

Duration UnansweredMoves::silence(const InstanceId &server, TimePoint now) const
{
    const auto found = m_silences.find(server);
    return found == m_silences.end() ? Duration::zero() : now - found->second.since;
}

} // namespace lycheearch
