#pragma once

#include "Base/Time.h"

namespace lycheearch {

/// Receives what a server does about clients that exceed a limit of this process.
class ClientLimitObserver
{
public:
    virtual ~ClientLimitObserver() = default;
    /// A connection to \p port was closed, or not accepted. \p port names the port, \p why the
    /// limit; both are constants of a small set.
    virtual void onClientLimit(const char *port, const char *why, TimePoint now) = 0;
};

} // namespace lycheearch
