#include "CallerStandIn.h"

#include "Net/Socket.h"
#include "RunnerStandIn.h"

namespace lycheearch::soak {

namespace {

constexpr Duration Patience = 2500ms;
constexpr int LongestPauseMs = 60;
constexpr Duration RetryPause = 100ms;
/// One in this many requests is abandoned after a few milliseconds, usually before its answer.
constexpr unsigned LeaveOneIn = 25;
constexpr HttpLimits Limits{16UL * 1024, 1024UL * 1024};
constexpr int Ok = 200;

const char *pathOf(Kind kind)
{
    switch (kind) {
    case Kind::Idempotent:
        return "/again/x";
    case Kind::Once:
        return "/once/x";
    case Kind::Stream:
        break;
    }
    return "/stream/x";
}

} // namespace

CallerStandIn::CallerStandIn(EventLoop &loop, Endpoint daemon, std::string name, Ledger &ledger,
                             std::mt19937_64 &random)
    : m_loop(loop)
    , m_daemon(std::move(daemon))
    , m_name(std::move(name))
    , m_ledger(ledger)
    , m_random(random)
{
}

CallerStandIn::~CallerStandIn()
{
    stop();
}

void CallerStandIn::start()
{
    m_stopped = false;
    next(std::chrono::milliseconds(m_random() % LongestPauseMs));
}

void CallerStandIn::stop()
{
    m_stopped = true;
    m_loop.cancel(m_timer);
    m_loop.cancel(m_patience);
    closeSocket();
}

void CallerStandIn::next(Duration pause)
{
    m_loop.cancel(m_timer);
    if (!m_stopped) {
        m_timer = m_loop.at(m_loop.now() + pause, [this](TimePoint now) {
            m_timer = TimerId();
            sendRequest(now);
        });
    }
}

void CallerStandIn::sendRequest(TimePoint now)
{
    if (!m_socket) {
        std::error_code error;
        const int fd = connectTcp(m_daemon, error);
        if (fd < 0) {
            next(RetryPause);
            return;
        }
        m_socket =
            std::make_unique<StreamSocket>(m_loop, fd, StreamSocket::Start::Connecting, *this);
    }
    m_id = m_name + "-" + std::to_string(++m_number);
    m_kind = static_cast<Kind>(m_random() % 3);
    m_parser = std::make_unique<HttpResponseParser>(Limits, false, *this);
    m_input.clear();
    m_body.clear();
    m_waiting = true;
    m_ledger.onSent(m_id, m_kind, "acc", now);
    const std::string body(m_random() % 2000, 'b');
    m_socket->send("POST " + std::string(pathOf(m_kind))
                   + " HTTP/1.1\r\nHost: h.example\r\n"
                     "Attempt-Id: "
                   + m_id
                   + "\r\nApi-Key: k\r\nTime-Budget-Ms: 2000\r\n"
                     "Tenant: forged\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body);
    const bool leaves = m_random() % LeaveOneIn == 0;
    const Duration patience = leaves ? Duration(10ms) : Patience;
    m_patience = m_loop.at(now + patience, [this](TimePoint present) {
        m_patience = TimerId();
        drop(present);
    });
}

void CallerStandIn::onBytes(std::string_view bytes, TimePoint now)
{
    if (!m_waiting) {
        m_ledger.report("a caller without a pending request received bytes: " + m_name);
        closeSocket();
        return;
    }
    m_input.append(bytes);
    m_parser->feed(m_input);
    if (m_parser->fault() != HttpFault::None) {
        m_ledger.report("a malformed response: " + m_id);
        drop(now);
    } else if (m_parser->complete()) {
        onAnswer(now);
    }
}

void CallerStandIn::onAnswer(TimePoint now)
{
    m_waiting = false;
    m_loop.cancel(m_patience);
    m_ledger.onAnswer(m_id, m_head.status, now);
    if (m_head.status == Ok) {
        checkBody();
    }
    if (!m_head.keepAlive) {
        closeSocket();
    }
    next(m_head.status == Ok ? Duration(std::chrono::milliseconds(m_random() % LongestPauseMs))
                             : RetryPause);
}

void CallerStandIn::checkBody()
{
    const std::string *seal = m_head.fields.find("Response-Seal");
    if (seal == nullptr || *seal != "seal-" + m_id) {
        m_ledger.report("a successful response without its Response-Seal: " + m_id);
    }
    std::string expected;
    if (m_kind == Kind::Stream) {
        for (int number = 1; number <= StreamEvents; ++number) {
            expected += streamEvent(m_id, number);
        }
    } else {
        expected = answerBody(m_id);
    }
    if (m_body != expected) {
        m_ledger.report("a successful response with a wrong body: " + m_id);
    }
}

void CallerStandIn::onEnd(TimePoint now)
{
    drop(now);
}

void CallerStandIn::drop(TimePoint now)
{
    if (m_waiting) {
        m_ledger.onLeft(m_id, now);
    }
    m_waiting = false;
    m_loop.cancel(m_patience);
    closeSocket();
    next(RetryPause);
}

void CallerStandIn::closeSocket()
{
    if (m_socket) {
        m_socket->close();
        m_loop.defer([dead = std::shared_ptr<StreamSocket>(std::move(m_socket))] {});
    }
}

} // namespace lycheearch::soak
