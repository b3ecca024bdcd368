#include "Request/PinSessionFilter.h"

#include "Request/VersionPolicy.h"

namespace lycheearch {

namespace {
/// A request fails if its session has moved from version to version this many times.
constexpr int MaxSessionMoves = 20;
} // namespace

PinSessionFilter::PinSessionFilter(SessionDirectory &sessions, const Clock &clock)
    : m_sessions(sessions)
    , m_clock(clock)
{
}

Status PinSessionFilter::apply(RequestContext &context)
{
    const CallerRequest &request = context.request;
    if (request.kind != RequestKind::Chat || request.session.empty()) {
        return std::nullopt;
    }
    SessionKey key{context.account.id, request.session, {}};
    for (int move = 0; move < MaxSessionMoves; ++move) {
        const auto version = m_sessions.find(key, request.sessionToken, m_clock.now());
        if (!version) {
            context.sessionKey = key;
            return std::nullopt;
        }
        const Status denied = checkVersion(*context.config, context.account.id, *version, true);
        if (!denied) {
            context.sessionKey = key;
            context.sessionVersion = version;
            context.sessionToken = m_sessions.token(key, *version);
            return std::nullopt;
        }
        if (context.account.withdrawnSessionPolicy == WithdrawnSessionPolicy::Refuse) {
            return denied;
        }
        key.movedFrom = *version;
    }
    return makeFailure(Errc::VersionWithdrawn, "the session has moved between versions too often");
}

} // namespace lycheearch
