#include "Caller.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include "Adapters/HttpClient.h"
#include "Base/Hash.h"

namespace lycheearch::trial {

namespace {

constexpr Duration ReadinessPollInterval = 200ms;
constexpr Duration ReadinessTimeout = 300ms;
constexpr Duration ConnectTimeout = 500ms;
constexpr Duration MinRetryDelay = 50ms;
constexpr int HttpOk = 200;
const std::string EventPrefix = "data: ";

TimePoint now()
{
    return SystemClock().now();
}

std::string expectedText(const RequestRecord &record)
{
    std::string text;
    for (std::int64_t i = 0; i < record.tokens; ++i) {
        text += record.nonce + "." + std::to_string(i) + " ";
    }
    return text;
}

std::string bodyOf(const RequestRecord &record)
{
    if (record.kind != CallKind::Chat) {
        return nlohmann::json{{"note", "nonce=" + record.nonce}}.dump();
    }
    const std::string prompt = "Summarise. nonce=" + record.nonce;
    return nlohmann::json{{"model", record.model},
                          {"stream", record.stream},
                          {"max_tokens", record.tokens},
                          {"messages", {{{"role", "user"}, {"content", prompt}}}}}
        .dump();
}

std::string pathOf(const RequestRecord &record)
{
    return record.kind == CallKind::Chat
        ? "/v1/chat/completions"
        : "/v1/services/" + record.service + "/" + record.operation;
}

/// Whether the documented rules allow a retry with the same idempotency key: after a failed
/// connection, an incomplete answer, a server error, or status 409.
bool isRetryable(const AttemptRecord &attempt)
{
    if (attempt.status == 0) {
        return true;
    }
    return attempt.status >= 500 || attempt.status == 409;
}

} // namespace

const char *callKindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Chat:
        return "chat";
    case CallKind::Lookup:
        return "lookup";
    case CallKind::Booking:
        return "booking";
    }
    return "unknown";
}

Balancer::Balancer(Fleet &fleet)
{
    for (const FleetDaemon &daemon : fleet.daemons()) {
        m_targets.push_back({daemon.id, daemon.address, false});
    }
    refresh();
    m_thread = std::thread([this] { pollReadiness(); });
}

Balancer::~Balancer()
{
    m_stopping = true;
    m_thread.join();
}

void Balancer::refresh()
{
    for (Target &target : m_targets) {
        const auto answer =
            HttpClient(target.address, ReadinessTimeout).send({"GET", "/readyz", "", ""});
        std::lock_guard lock(m_mutex);
        target.ready = answer.ok() && answer.value().status == HttpOk;
    }
}

void Balancer::pollReadiness()
{
    while (!m_stopping) {
        refresh();
        std::this_thread::sleep_for(ReadinessPollInterval);
    }
}

std::pair<std::string, Endpoint> Balancer::next()
{
    std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const Target &target = m_targets[m_nextIndex++ % m_targets.size()];
        if (target.ready) {
            return {target.id, target.address};
        }
    }
    return {m_targets.front().id, m_targets.front().address};
}

Caller::Caller(Balancer &balancer, Duration deadline, int maxAttempts)
    : m_balancer(balancer)
    , m_deadline(deadline)
    , m_maxAttempts(maxAttempts)
{
}

void Caller::run(RequestRecord &record, TimePoint scheduled) const
{
    const TimePoint limit = scheduled + m_deadline;
    while (static_cast<int>(record.attempts.size()) < m_maxAttempts && now() < limit) {
        const auto retryDelay = attempt(record, scheduled);
        if (!retryDelay) {
            break;
        }
        std::this_thread::sleep_for(*retryDelay);
    }
    record.latency = now() - scheduled;
    record.endMicroseconds = SystemClock().wallTime().time_since_epoch().count();
}

std::optional<Duration> Caller::attempt(RequestRecord &record, TimePoint scheduled) const
{
    const auto [daemon, address] = m_balancer.next();
    AttemptRecord attempt;
    attempt.requestId = randomHex();
    attempt.daemon = daemon;
    attempt.startMicroseconds = SystemClock().wallTime().time_since_epoch().count();
    Duration retryDelay = MinRetryDelay;
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                       Poco::Timespan(ConnectTimeout.count()));
        attempt.connected = true;
        Poco::Net::HTTPClientSession session(socket);
        socket.setReceiveTimeout(Poco::Timespan(m_deadline.count()));
        Poco::Net::HTTPRequest request("POST", pathOf(record), Poco::Net::HTTPMessage::HTTP_1_1);
        const std::string body = bodyOf(record);
        request.setCredentials("Bearer", "demo-key-" + record.account);
        request.set("X-Request-Id", attempt.requestId);
        if (!record.key.empty()) {
            request.set("Idempotency-Key", record.key);
        }
        if (!record.session.empty()) {
            request.set("X-Session-Id", record.session);
        }
        const Duration timeLeft = std::max<Duration>(scheduled + m_deadline - now(), 1ms);
        request.set("X-Deadline-Ms",
                    std::to_string(std::max<std::int64_t>(toMilliseconds(timeLeft), 1)));
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        record.firstByte = now() - scheduled;
        const bool isEventStream = response.getContentType() == "text/event-stream";
        if (isEventStream) {
            readStream(record, stream, scheduled);
            attempt.status = record.answered ? HttpOk : 0;
        } else {
            std::string text;
            Poco::StreamCopier::copyToString(stream, text);
            const bool cut = response.hasContentLength()
                && response.getContentLength64() != static_cast<Poco::Int64>(text.size());
            attempt.status = cut ? 0 : response.getStatus();
            if (attempt.status == HttpOk) {
                readAnswer(record, text);
            } else if (!cut) {
                const auto error = nlohmann::json::parse(text, nullptr, false)
                                       .value("error", nlohmann::json::object());
                attempt.code = error.value("code", "");
                attempt.run = error.value("run", "");
                retryDelay = std::max<Duration>(
                    retryDelay, std::chrono::milliseconds(error.value("retry_after_ms", 0)));
            }
        }
    } catch (const Poco::Exception &) {
        attempt.status = 0;
    } catch (const nlohmann::json::exception &) {
        attempt.status = 0;
    }
    record.attempts.push_back(attempt);
    // Without an idempotency key, a retry could run the request twice unless it is known not to
    // have run.
    const bool retryIsSafe = !record.key.empty() || attempt.run == "not_run";
    if (record.answered || !isRetryable(attempt) || !retryIsSafe) {
        return std::nullopt;
    }
    return retryDelay;
}

void Caller::readAnswer(RequestRecord &record, const std::string &body) const
{
    const auto json = nlohmann::json::parse(body);
    record.answered = true;
    if (record.kind != CallKind::Chat) {
        record.answerCorrect = json.value("nonce", "") == record.nonce
            && json.value("operation", "") == record.operation;
        return;
    }
    record.version = json.at("version").get<std::string>();
    record.answerCorrect = json.at("choices").at(0).at("message").at("content").get<std::string>()
        == expectedText(record);
}

void Caller::readStream(RequestRecord &record, std::istream &stream, TimePoint scheduled) const
{
    std::string line;
    std::string text;
    bool done = false;
    while (std::getline(stream, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (!line.starts_with(EventPrefix)) {
            continue;
        }
        const std::string data = line.substr(EventPrefix.size());
        if (data == "[DONE]") {
            done = true;
            continue;
        }
        const auto json = nlohmann::json::parse(data);
        if (!json.contains("choices")) {
            return;
        }
        if (text.empty()) {
            record.firstByte = now() - scheduled;
        }
        text += json["choices"].at(0).at("delta").value("content", "");
    }
    record.answered = done;
    record.answerCorrect = done && text == expectedText(record);
}

} // namespace lycheearch::trial
