#include "SimulatedCaller.h"

#include <algorithm>
#include <utility>

#include "Net/Socket.h"
#include "SimulatedBackend.h"

namespace lycheearch::soak {

namespace {

constexpr Duration AnswerTimeout = 2500ms;
constexpr int MaxPauseMs = 60;
constexpr Duration RetryPause = 100ms;
constexpr Duration CrashingPause = 400ms;
/// One in this many requests is abandoned after 10 ms, usually before its answer.
constexpr unsigned AbandonOneIn = 25;
constexpr HttpLimits Limits{16UL * 1024, 1024UL * 1024};
constexpr int Ok = 200;
/// How long a request and the end of its connection are under way at most.
constexpr int MaxTransitMs = 5;
/// How long a daemon that has not read a request may take to reset its connection, after it ended
/// its own side.
constexpr Duration MaxResetDelay = 2500ms;
/// Between the sending of an answer and its receipt.
constexpr Duration AnnouncementTolerance = 100ms;

const char *pathOf(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "/again/x";
    case RequestKind::NonIdempotent:
        return "/once/x";
    case RequestKind::Stream:
        break;
    }
    return "/stream/x";
}

/// The timeout that a response announces in Keep-Alive; 0 if it announces none.
Duration announcedTimeout(const HttpFields &fields)
{
    const std::string name = "timeout=";
    const std::string *field = fields.find("Keep-Alive");
    const std::size_t at = field == nullptr ? std::string::npos : field->find(name);
    return at == std::string::npos
        ? Duration()
        : std::chrono::seconds(std::stoi(field->substr(at + name.size())));
}

} // namespace

SimulatedCaller::SimulatedCaller(EventLoop &loop, Endpoint daemon, std::string name,
                                 GuaranteeChecker &checker, std::mt19937_64 &random)
    : m_loop(loop)
    , m_daemon(std::move(daemon))
    , m_name(std::move(name))
    , m_checker(checker)
    , m_random(random)
{
}

SimulatedCaller::~SimulatedCaller()
{
    stop();
}

void SimulatedCaller::start()
{
    m_stopped = false;
    scheduleRequest(std::chrono::milliseconds(m_random() % MaxPauseMs));
}

void SimulatedCaller::startCrashing()
{
    m_crashing = true;
    start();
}

void SimulatedCaller::startResting(RestPlan &rests)
{
    m_rests = &rests;
    start();
}

void SimulatedCaller::stop()
{
    m_stopped = true;
    m_loop.cancel(m_sendTimer);
    m_loop.cancel(m_answerTimer);
    closeSocket();
}

void SimulatedCaller::scheduleRequest(Duration pause)
{
    m_loop.cancel(m_sendTimer);
    pause = m_crashing ? std::max(pause, CrashingPause) : pause;
    if (!m_stopped) {
        m_sendTimer = m_loop.at(m_loop.now() + pause, [this](TimePoint now) {
            m_sendTimer = TimerId();
            sendRequest(now);
        });
    }
}

void SimulatedCaller::rest(TimePoint now)
{
    const TimePoint until =
        m_answeredAt + std::chrono::duration_cast<Duration>(m_rests->idleTimeout() * m_restShare);
    if (now >= until) {
        beginCrossing();
        return;
    }
    m_loop.cancel(m_sendTimer);
    m_sendTimer = m_loop.at(until, [this](TimePoint firedAt) {
        m_sendTimer = TimerId();
        rest(firedAt);
    });
}

void SimulatedCaller::beginCrossing()
{
    if (m_socket) {
        m_socket->holdReading(true);
    }
    scheduleRequest(std::chrono::milliseconds(m_random() % (MaxTransitMs + 1)));
}

void SimulatedCaller::sendRequest(TimePoint now)
{
    const bool announcementExpired =
        m_announcedTimeout > Duration() && now - m_answeredAt >= m_announcedTimeout;
    if (announcementExpired && m_random() % 2 == 0) {
        closeSocket();
    }
    m_kept = m_socket != nullptr;
    if (!m_socket) {
        std::error_code error;
        const int fd = connectTcp(m_daemon, error);
        if (fd < 0) {
            scheduleRequest(RetryPause);
            return;
        }
        m_socket =
            std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
    }
    const bool repeats = std::exchange(m_repeats, false);
    if (!repeats) {
        m_id = m_name + "-" + std::to_string(++m_requestCount);
        m_kind = static_cast<RequestKind>(m_random() % 3);
    }
    m_parser = std::make_unique<HttpResponseParser>(Limits, false, *this);
    m_input.clear();
    m_body.clear();
    m_awaitingAnswer = true;
    std::string body(m_random() % 2000, 'b');
    if (m_crashing) {
        m_kind = RequestKind::Idempotent;
        body = CrashingBody;
        m_checker.onCrashingSent(m_id, now);
    } else if (!repeats) {
        m_checker.onSent(m_id, m_kind, "acc", now);
    }
    if (awaitsOnKeptConnection()) {
        m_checker.onSentOnKeptConnection(m_id);
    }
    m_socket->send("POST " + std::string(pathOf(m_kind))
                   + " HTTP/1.1\r\nHost: h.example\r\n"
                     "Attempt-Id: "
                   + m_id
                   + "\r\nApi-Key: k\r\nTime-Budget-Ms: 2000\r\n"
                     "Tenant: forged\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body);
    m_socket->holdReading(false);
    const bool abandons = !m_crashing && m_random() % AbandonOneIn == 0;
    const Duration answerTimeout = abandons ? Duration(10ms) : AnswerTimeout;
    m_answerTimer = m_loop.at(now + answerTimeout, [this](TimePoint firedAt) {
        m_answerTimer = TimerId();
        dropConnection(firedAt);
    });
}

void SimulatedCaller::onBytes(std::string_view bytes, TimePoint now)
{
    if (!m_awaitingAnswer) {
        m_checker.addViolation("a caller without a pending request received bytes: " + m_name);
        closeSocket();
        return;
    }
    m_input.append(bytes);
    m_parser->feed(m_input);
    if (m_parser->parseError() != HttpParseError::None) {
        m_checker.addViolation("a malformed response: " + m_id);
        dropConnection(now);
    } else if (m_parser->complete()) {
        onAnswer(now);
    }
}

void SimulatedCaller::onAnswer(TimePoint now)
{
    m_awaitingAnswer = false;
    m_loop.cancel(m_answerTimer);
    m_checker.onAnswer(m_id, m_head.status, now);
    m_answeredAt = now;
    m_announcedTimeout = announcedTimeout(m_head.fields);
    if (m_head.status == Ok) {
        checkBody();
    }
    if (!m_head.keepAlive) {
        closeSocket();
    }
    if (m_rests != nullptr && m_socket && !m_stopped) {
        m_restShare = m_rests->drawRestShare();
        rest(now);
        return;
    }
    scheduleRequest(m_head.status == Ok
                        ? Duration(std::chrono::milliseconds(m_random() % MaxPauseMs))
                        : RetryPause);
}

void SimulatedCaller::checkBody()
{
    const std::string *seal = m_head.fields.find("Response-Seal");
    if (seal == nullptr || *seal != "seal-" + m_id) {
        m_checker.addViolation("a successful response without its Response-Seal: " + m_id);
    }
    std::string expected;
    if (m_kind == RequestKind::Stream) {
        for (int number = 1; number <= EventsPerStream; ++number) {
            expected += streamEvent(m_id, number);
        }
    } else {
        expected = answerBody(m_id);
    }
    if (m_body != expected) {
        m_checker.addViolation("a successful response with a wrong body: " + m_id);
    }
}

void SimulatedCaller::onEnd(TimePoint now)
{
    if (!awaitsOnKeptConnection()) {
        checkAnnouncedTimeout(now);
        dropConnection(now);
        return;
    }
    // A reset follows if the daemon closes the connection without having read the request.
    m_loop.cancel(m_answerTimer);
    m_answerTimer = m_loop.at(now + MaxResetDelay, [this, now](TimePoint firedAt) {
        m_answerTimer = TimerId();
        onCut(ConnectionEnd::Orderly, now, firedAt);
    });
}

void SimulatedCaller::onError(std::error_code, TimePoint now)
{
    if (awaitsOnKeptConnection()) {
        onCut(ConnectionEnd::Reset, now, now);
    } else {
        dropConnection(now);
    }
}

void SimulatedCaller::onCut(ConnectionEnd end, TimePoint cutAt, TimePoint now)
{
    m_repeats = m_checker.onCut(m_id, end, cutAt);
    if (m_repeats) {
        checkAnnouncedTimeout(cutAt);
    }
    m_awaitingAnswer = false;
    dropConnection(now);
}

void SimulatedCaller::checkAnnouncedTimeout(TimePoint now)
{
    // In the other modes, daemons are ended as a fault.
    if (m_rests != nullptr && (!m_awaitingAnswer || m_kept)) {
        const Duration open = now - m_answeredAt + AnnouncementTolerance;
        if (open < m_announcedTimeout) {
            m_checker.addViolation("a connection was closed before the announced timeout: " + m_id);
        }
    }
}

void SimulatedCaller::dropConnection(TimePoint now)
{
    if (m_awaitingAnswer) {
        m_checker.onAbandoned(m_id, now);
    }
    m_awaitingAnswer = false;
    m_loop.cancel(m_answerTimer);
    closeSocket();
    scheduleRequest(RetryPause);
}

void SimulatedCaller::closeSocket()
{
    m_announcedTimeout = Duration();
    if (m_socket) {
        m_socket->close();
        m_loop.defer([closedSocket = std::shared_ptr<StreamSocket>(std::move(m_socket))] {});
    }
}

} // namespace lycheearch::soak
