#pragma once

#include <unordered_map>

#include "Forward/RequestMemory.h"

namespace lycheearch {

/// A connection whose request holds memory.
class RequestHolder
{
public:
    virtual ~RequestHolder() = default;
    /// Refuses the request, which is incomplete, and frees what it holds.
    virtual void giveUpRequest(TimePoint now) = 0;
};

/// Memory of the requests of this process, in a pool for heads and one for bodies. Makes room by
/// giving up incomplete requests, as RequestMemory decides.
class CallerRequests
{
public:
    enum class Pool { Heads, Bodies };

    CallerRequests(BodyBudget &heads, BodyBudget &bodies);

    /// \p holder must call remove() before it is deleted.
    RequestMemory::HolderId add(RequestHolder &holder);
    void remove(RequestMemory::HolderId id);

    /// A request begins to arrive.
    void begin(RequestMemory::HolderId id, TimePoint now);
    /// Sets what the request holds in \p pool. Returns false, and changes nothing, if it does not
    /// fit and no other request gives up its memory.
    bool hold(Pool pool, RequestMemory::HolderId id, std::size_t bytes, TimePoint now);
    void onProgress(RequestMemory::HolderId id, TimePoint now);
    void onComplete(RequestMemory::HolderId id);
    void release(RequestMemory::HolderId id);

    /// Gauges in the Prometheus text format.
    std::string metricsText() const;

private:
    RequestMemory &memoryOf(Pool pool) { return pool == Pool::Heads ? m_heads : m_bodies; }

    RequestMemory m_heads;
    RequestMemory m_bodies;
    std::unordered_map<RequestMemory::HolderId, RequestHolder *> m_holders;
    RequestMemory::HolderId m_nextId = 1;
};

} // namespace lycheearch
