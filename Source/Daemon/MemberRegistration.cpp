#include "Daemon/MemberRegistration.h"

#include <algorithm>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

constexpr Duration RenewPeriod = 70s;
/// Delay after a failed write; doubles with each consecutive failure.
constexpr Duration FirstRetryDelay = 1s;
constexpr Duration MaxRetryDelay = 16s;
constexpr std::int64_t MaxSpreadMs = 1000;

} // namespace

MemberRegistration::MemberRegistration(EventLoop &loop, FleetStore &store, const RecordCodec &codec,
                                       const Clock &clock, MemberRegistered member,
                                       AttemptCallback onAttempt)
    : m_loop(loop)
    , m_store(store)
    , m_codec(codec)
    , m_clock(clock)
    , m_member(std::move(member))
    , m_onAttempt(std::move(onAttempt))
    , m_retryDelay(FirstRetryDelay)
{
}

MemberRegistration::~MemberRegistration()
{
    m_loop.cancel(m_timer);
}

void MemberRegistration::start()
{
    write(m_loop.now());
}

void MemberRegistration::onStoreRegained(TimePoint now)
{
    m_retryDelay = FirstRetryDelay;
    if (m_failed && !m_inFlight) {
        schedule(now + spread());
    }
}

void MemberRegistration::onStoreEra(TimePoint now)
{
    schedule(now + spread());
}

void MemberRegistration::write(TimePoint)
{
    if (m_inFlight) {
        return;
    }
    m_inFlight = true;
    m_member.registeredAt = wallMilliseconds(m_clock);
    m_store.append(Topic::Own, m_codec.encode(m_member), {},
                   [this](const StoreOutcome<Offset> &outcome, TimePoint now) {
                       onOutcome(outcome.ok(), now);
                   });
}

void MemberRegistration::onOutcome(bool written, TimePoint now)
{
    m_inFlight = false;
    m_failed = !written;
    if (written) {
        m_retryDelay = FirstRetryDelay;
        schedule(now + RenewPeriod);
    } else {
        schedule(now + m_retryDelay);
        m_retryDelay = std::min(m_retryDelay * 2, MaxRetryDelay);
    }
    m_onAttempt(now);
}

void MemberRegistration::schedule(TimePoint at)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.at(at, [this](TimePoint now) {
        m_timer = TimerId();
        write(now);
    });
}

Duration MemberRegistration::spread() const
{
    const auto hash =
        static_cast<std::int64_t>(stableHash(m_member.instance.value()) % MaxSpreadMs);
    return std::chrono::milliseconds(hash);
}

} // namespace lycheearch
