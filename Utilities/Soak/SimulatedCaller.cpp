#include "SimulatedCaller.h"

#include <algorithm>

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

void SimulatedCaller::sendRequest(TimePoint now)
{
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
    m_id = m_name + "-" + std::to_string(++m_requestCount);
    m_kind = static_cast<RequestKind>(m_random() % 3);
    m_parser = std::make_unique<HttpResponseParser>(Limits, false, *this);
    m_input.clear();
    m_body.clear();
    m_awaitingAnswer = true;
    std::string body(m_random() % 2000, 'b');
    if (m_crashing) {
        m_kind = RequestKind::Idempotent;
        body = CrashingBody;
        m_checker.onCrashingSent(m_id, now);
    } else {
        m_checker.onSent(m_id, m_kind, "acc", now);
    }
    m_socket->send("POST " + std::string(pathOf(m_kind))
                   + " HTTP/1.1\r\nHost: h.example\r\n"
                     "Attempt-Id: "
                   + m_id
                   + "\r\nApi-Key: k\r\nTime-Budget-Ms: 2000\r\n"
                     "Tenant: forged\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body);
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
    if (m_head.status == Ok) {
        checkBody();
    }
    if (!m_head.keepAlive) {
        closeSocket();
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
    dropConnection(now);
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
    if (m_socket) {
        m_socket->close();
        m_loop.defer([closedSocket = std::shared_ptr<StreamSocket>(std::move(m_socket))] {});
    }
}

} // namespace lycheearch::soak
