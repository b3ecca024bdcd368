#pragma once

#include "Request/Filter.h"
#include "State/SessionDirectory.h"

namespace lycheearch {

/// Looks up the version that the session is pinned to. If the session can no longer use that
/// version, for example because it was withdrawn, the request fails or the session moves to another
/// version, depending on the configuration of the account.
class PinSessionFilter : public Filter
{
public:
    PinSessionFilter(SessionDirectory &sessions, const Clock &clock);
    Status apply(RequestContext &context) override;

private:
    SessionDirectory &m_sessions;
    const Clock &m_clock;
};

} // namespace lycheearch
