#pragma once

#include "Request/Filter.h"
#include "State/SessionDirectory.h"

namespace lycheearch {

/// Finds the version that a session has. A session whose version is withdrawn is refused, or moves
/// to another version if its account's manifest says so.
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
