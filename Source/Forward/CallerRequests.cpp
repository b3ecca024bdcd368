#include "Forward/CallerRequests.h"

#include <string>

namespace lycheearch {

CallerRequests::CallerRequests(BodyBudget &heads, BodyBudget &bodies)
    : m_heads(heads)
    , m_bodies(bodies)
{
}

RequestMemory::HolderId CallerRequests::add(RequestHolder &holder)
{
    const RequestMemory::HolderId id = m_nextId++;
    m_holders.emplace(id, &holder);
    return id;
}

void CallerRequests::remove(RequestMemory::HolderId id)
{
    release(id);
    m_holders.erase(id);
}

void CallerRequests::begin(RequestMemory::HolderId id, TimePoint now)
{
    m_heads.begin(id, now);
    m_bodies.begin(id, now);
}

bool CallerRequests::hold(Pool pool, RequestMemory::HolderId id, std::size_t bytes, TimePoint now)
{
    RequestMemory &memory = memoryOf(pool);
    while (!memory.hold(id, bytes)) {
        const auto candidate = memory.candidate(id, bytes, now);
        if (!candidate) {
            return false;
        }
        m_holders.at(*candidate)->giveUpRequest(now);
        release(*candidate);
    }
    return true;
}

void CallerRequests::onProgress(RequestMemory::HolderId id, TimePoint now)
{
    m_heads.onProgress(id, now);
    m_bodies.onProgress(id, now);
}

void CallerRequests::onComplete(RequestMemory::HolderId id)
{
    m_heads.onComplete(id);
    m_bodies.onComplete(id);
}

void CallerRequests::release(RequestMemory::HolderId id)
{
    m_heads.release(id);
    m_bodies.release(id);
}

std::string CallerRequests::metricsText() const
{
    const auto gauge = [](const std::string &name, std::size_t value) {
        return "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
    };
    return gauge("lycheearch_request_head_bytes", m_heads.heldBytes())
        + gauge("lycheearch_request_body_bytes", m_bodies.heldBytes());
}

} // namespace lycheearch
