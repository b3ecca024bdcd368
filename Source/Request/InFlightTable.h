#pragma once

#include <future>
#include <map>
#include <memory>
#include <mutex>

#include "Request/RequestContext.h"

namespace lycheearch {

/// The requests in flight in this process that have an idempotency key. A repeat that arrives while
/// the first request runs waits for the result of that one instead of running again.
class InFlightTable
{
public:
    using ResultFuture = std::shared_future<RequestResult>;

    /// Registers a request. If a request with the same key is in flight, returns the future result
    /// of that one instead.
    std::optional<ResultFuture> registerRequest(const RequestKey &key);
    /// Removes the request and passes its result to the repeats that wait for it.
    void complete(const RequestKey &key, const RequestResult &result);
    bool contains(const RequestKey &key) const;

private:
    struct Entry
    {
        std::promise<RequestResult> promise;
        ResultFuture future;
    };

    mutable std::mutex m_mutex;
    std::map<RequestKey, Entry> m_entries;
};

} // namespace lycheearch
