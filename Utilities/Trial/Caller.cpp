#include "Caller.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include "Base/Hash.h"
#include "OwnFormats/HttpClient.h"

namespace lycheearch::trial {

namespace {

constexpr Duration BalancerPeriod = 200ms;
constexpr Duration ReadyTimeout = 300ms;
constexpr Duration ConnectTimeout = 500ms;
constexpr Duration LeastPause = 50ms;
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
/// connection, a server error, or status 409.
bool mayTryAgain(const AttemptRecord &attempt)
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
    m_thread = std::thread([this] { watch(); });
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
            HttpClient(target.address, ReadyTimeout).send({"GET", "/readyz", "", ""});
        std::lock_guard lock(m_mutex);
        target.ready = answer.ok() && answer.value().status == HttpOk;
    }
}

void Balancer::watch()
{
    while (!m_stopping) {
        refresh();
        std::this_thread::sleep_for(BalancerPeriod);
    }
}

std::pair<std::string, Endpoint> Balancer::next()
{
    std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const Target &target = m_targets[m_position++ % m_targets.size()];
        if (target.ready) {
            return {target.id, target.address};
        }
    }
    return {m_targets.front().id, m_targets.front().address};
}

Caller::Caller(Balancer &balancer, Duration deadline, int mostAttempts)
    : m_balancer(balancer)
    , m_deadline(deadline)
    , m_mostAttempts(mostAttempts)
{
}

void Caller::run(RequestRecord &record, TimePoint scheduled) const
{
    const TimePoint limit = scheduled + m_deadline;
    while (static_cast<int>(record.attempts.size()) < m_mostAttempts && now() < limit) {
        const auto pause = attempt(record, scheduled);
        if (!pause) {
            break;
        }
        std::this_thread::sleep_for(*pause);
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
    Duration pause = LeastPause;
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
        const Duration left = std::max<Duration>(scheduled + m_deadline - now(), 1ms);
        request.set("X-Deadline-Ms",
                    std::to_string(std::max<std::int64_t>(toMilliseconds(left), 1)));
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        record.firstByte = now() - scheduled;
        const bool events = response.getContentType() == "text/event-stream";
        if (events) {
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
                pause = std::max<Duration>(
                    pause, std::chrono::milliseconds(error.value("retry_after_ms", 0)));
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
    const bool safe = !record.key.empty() || attempt.run == "not_run";
    if (record.answered || !mayTryAgain(attempt) || !safe) {
        return std::nullopt;
    }
    return pause;
}

void Caller::readAnswer(RequestRecord &record, const std::string &body) const
{
    const auto json = nlohmann::json::parse(body);
    record.answered = true;
    if (record.kind != CallKind::Chat) {
        record.whole = json.value("nonce", "") == record.nonce
            && json.value("operation", "") == record.operation;
        return;
    }
    record.version = json.at("version").get<std::string>();
    record.whole = json.at("choices").at(0).at("message").at("content").get<std::string>()
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
    record.whole = done && text == expectedText(record);
}

} // namespace lycheearch::trial
