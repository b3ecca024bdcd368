#pragma once

#include <string>
#include <vector>

#include "Net/ClientLimitObserver.h"

namespace lycheearch {

/// Remembers what was done about clients that exceeded a limit, as "port: why".
class ClientLimitCounter : public ClientLimitObserver
{
public:
    void onClientLimit(const char *port, const char *why, TimePoint) override
    {
        events.push_back(std::string(port) + ": " + why);
    }

    std::vector<std::string> events;
};

/// For tests in which no client exceeds a limit.
inline ClientLimitCounter &unusedLimitObserver()
{
    static ClientLimitCounter counter;
    return counter;
}

} // namespace lycheearch
