#pragma once

#include <future>
#include <map>
#include <memory>
#include <mutex>

#include "Request/RequestContext.h"

namespace lycheearch {

/// Requests with a caller's key that run in this process, so that a repeat joins the first.
class InFlightTable
{
public:
    using Ending = std::shared_future<FinishedAnswer>;

    /// Registers a request, or returns the ending of the one that runs under the same key.
    std::optional<Ending> enter(const RequestKey &key);
    /// Ends the registered request and wakes all that joined it.
    void leave(const RequestKey &key, const FinishedAnswer &answer);
    bool contains(const RequestKey &key) const;

private:
    struct Running
    {
        std::promise<FinishedAnswer> promise;
        Ending ending;
    };

    mutable std::mutex m_mutex;
    std::map<RequestKey, Running> m_running;
};

} // namespace lycheearch
