#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "AsyncServer.h"
#include "GuaranteeChecker.h"
#include "SimulatedStore.h"

namespace lycheearch::soak {

/// Simulates one backend server: registers in the store, answers requests after a short delay and
/// reports each run to the GuaranteeChecker.
class SimulatedBackend
{
public:
    SimulatedBackend(EventLoop &loop, const Endpoint &listen, int slots, SimulatedStore &store,
                     GuaranteeChecker &checker, std::mt19937_64 &random);

    /// Also listens on another host, for one daemon only. Returns the number of this link.
    std::size_t addLink(const std::string &host);
    /// Closes the open connections of a link, unless \p keepOpen is set, and refuses new ones.
    void refuseLink(std::size_t link, bool keepOpen);
    /// Nothing passes on a link, in either direction.
    void silenceLink(std::size_t link);
    void restoreLink(std::size_t link);
    /// Listens and registers as ready under a new instance id.
    void start();
    /// Closes all connections without draining, and deletes the registration at once, as if it had
    /// expired.
    void crash();
    /// Registers as draining. A request that arrives more than \p bound later is a violation.
    void drain(Duration bound);
    /// Writes the registration again, as after the store came back from an older copy.
    void renewRegistration();
    /// Names a rate limit in all answers until endRateLimit() or the next start.
    void nameRateLimit(double perSecond);
    void endRateLimit();
    /// Says in all answers that it bears so many rejections per second, takes no more than
    /// BrittleSlots requests at a time and falls over beyond it, until endBrittle().
    void becomeBrittle(int maxRejections);
    void endBrittle() { m_maxRejections.reset(); }
    bool namesRateLimit() const { return m_rateLimit.has_value(); }
    bool isRunning() const { return m_started; }
    /// Sets the share of answers, from 0 to 1, whose connection closes before the answer is
    /// complete. For a stream, a quarter of it applies to each event.
    void setBrokenAnswerShare(double share) { m_brokenAnswerShare = share; }

private:
    using Connection = std::shared_ptr<AsyncServer::Connection>;

    void onRequest(const Connection &connection, const HttpRequestHead &head,
                   const std::string &body);
    HttpFields answerFields(const std::string &id) const;
    void runPlain(const Connection &connection, const std::string &id);
    void runStream(const Connection &connection, const std::string &id, int from);
    void registerEntry(const char *state);

    EventLoop &m_loop;
    Endpoint m_address;
    SimulatedStore &m_store;
    GuaranteeChecker &m_checker;
    std::mt19937_64 &m_random;
    std::vector<std::unique_ptr<AsyncServer>> m_servers; ///< One for each link.
    bool m_started = false;
    std::string m_id;
    const char *m_registeredState = "ready";
    int m_startCount = 0;
    int m_sequence = 0;
    double m_brokenAnswerShare = 0;
    void restartLater();
    /// Rejects a request. Falls over if it was one too many.
    void reject(const Connection &connection, const std::string &id);

    std::optional<double> m_rateLimit; ///< Requests per second.
    std::optional<int> m_maxRejections; ///< Per second, of a brittle server.
    std::deque<TimePoint> m_rejections; ///< Of the last second.
    int m_running = 0; ///< Requests.
    int m_slots; ///< As registered.
};

/// Requests that a server takes at a time while it is brittle.
constexpr int BrittleSlots = 6;
/// Body of a request that ends the server that runs it.
extern const std::string CrashingBody;
/// Number of events in each stream.
constexpr int EventsPerStream = 8;
/// Body of the answer to the request \p id.
std::string answerBody(const std::string &id);
/// Event \p number, from 1 on, of the stream that answers the request \p id.
std::string streamEvent(const std::string &id, int number);

} // namespace lycheearch::soak
