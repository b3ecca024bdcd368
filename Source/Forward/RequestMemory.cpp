#include "Forward/RequestMemory.h"

namespace lycheearch {

namespace {

/// Large requests get all but one of so many parts of the memory.
constexpr std::size_t SmallPartDivisor = 4;

} // namespace

RequestMemory::RequestMemory(BodyBudget &budget)
    : m_budget(budget)
{
}

void RequestMemory::begin(HolderId holder, TimePoint now)
{
    release(holder);
    m_holders.emplace(holder, Holder{0, now, now, true});
    m_byProgress.emplace(now, holder);
    m_byBegin.emplace(now, holder);
}

std::size_t RequestMemory::largePart(std::size_t bytes)
{
    return bytes > SmallRequestBytes ? bytes : 0;
}

bool RequestMemory::largeFits(const Holder &holder, std::size_t bytes) const
{
    const std::size_t limit = m_budget.limitBytes() - m_budget.limitBytes() / SmallPartDivisor;
    const std::size_t others = m_largeBytes - largePart(holder.bytes);
    return largePart(bytes) == 0 || others == 0 || others + bytes <= limit;
}

bool RequestMemory::hold(HolderId holder, std::size_t bytes)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end()) {
        return bytes == 0;
    }
    Holder &state = found->second;
    if (bytes > state.bytes
        && (!largeFits(state, bytes) || !m_budget.tryReserve(bytes - state.bytes))) {
        return false;
    }
    if (bytes < state.bytes) {
        m_budget.release(state.bytes - bytes);
    }
    m_largeBytes += largePart(bytes);
    m_largeBytes -= largePart(state.bytes);
    state.bytes = bytes;
    return true;
}

void RequestMemory::onProgress(HolderId holder, TimePoint now)
{
    const auto found = m_holders.find(holder);
    if (found != m_holders.end() && found->second.incomplete) {
        m_byProgress.erase({found->second.progressedAt, holder});
        found->second.progressedAt = now;
        m_byProgress.emplace(now, holder);
    }
}

void RequestMemory::onComplete(HolderId holder)
{
    const auto found = m_holders.find(holder);
    if (found != m_holders.end()) {
        removeFromOrders(holder, found->second);
        found->second.incomplete = false;
    }
}

void RequestMemory::release(HolderId holder)
{
    const auto found = m_holders.find(holder);
    if (found != m_holders.end()) {
        removeFromOrders(holder, found->second);
        m_budget.release(found->second.bytes);
        m_largeBytes -= largePart(found->second.bytes);
        m_holders.erase(found);
    }
}

void RequestMemory::removeFromOrders(HolderId id, const Holder &holder)
{
    m_byProgress.erase({holder.progressedAt, id});
    m_byBegin.erase({holder.beganAt, id});
}

std::optional<RequestMemory::HolderId> RequestMemory::candidate(HolderId holder, std::size_t bytes,
                                                                TimePoint now) const
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end()) {
        return std::nullopt;
    }
    const bool onlyLarge = !largeFits(found->second, bytes);
    const auto stalled = firstBefore(m_byProgress, now - StalledAfter, holder, onlyLarge);
    return stalled ? stalled : firstBefore(m_byBegin, now - SlowAfter, holder, onlyLarge);
}

std::optional<RequestMemory::HolderId> RequestMemory::firstBefore(const Order &order,
                                                                  TimePoint limit, HolderId except,
                                                                  bool onlyLarge) const
{
    for (const auto &[at, id] : order) {
        if (at > limit) {
            break;
        }
        const std::size_t bytes = m_holders.at(id).bytes;
        if (id != except && bytes > 0 && (!onlyLarge || largePart(bytes) > 0)) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace lycheearch
