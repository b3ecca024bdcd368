#include "Adapters/HttpModelEngine.h"

#include <Poco/Exception.h>
#include <nlohmann/json.hpp>

#include "Adapters/HttpClient.h"
#include "Adapters/LineSplitter.h"
#include "Base/Logger.h"
#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

const Logger Log("engine");

/// Longer streams, and streams with longer lines, are a failure.
constexpr std::size_t MaxStreamBytes = 64UL * 1024 * 1024;
constexpr std::size_t MaxLineBytes = 1024UL * 1024;
const std::string EventDataPrefix = "data: ";

std::string encodeRequest(const EngineRequest &request)
{
    const nlohmann::json json{{"request_id", request.request.value()},
                              {"version", request.version.value()},
                              {"prompt", request.prompt},
                              {"priority", static_cast<int>(request.priority)},
                              {"max_tokens", request.maxTokens.value()},
                              {"resume_from", request.resumeFrom.value()}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Failure backendBroken(const std::string &message)
{
    return makeFailure(Errc::BackendBroken, message, RunState::Unknown);
}

/// Reads the body of a response line by line.
class LineReader
{
public:
    explicit LineReader(HttpResponseReader &response)
        : m_response(response)
    {
    }

    /// Returns the next line without its end, or std::nullopt at the end of the body. Throws
    /// Poco::Exception.
    std::optional<std::string> next()
    {
        std::optional<std::string> line = m_lines.next();
        while (!line) {
            const std::string more = m_response.readSome();
            if (more.empty()) {
                return std::nullopt;
            }
            m_lines.append(more);
            if (m_lines.pendingBytes() > MaxLineBytes) {
                throw Poco::DataFormatException("a line of the stream is too long");
            }
            line = m_lines.next();
        }
        return line;
    }

private:
    HttpResponseReader &m_response;
    LineSplitter m_lines;
};

/// Reads the next event of the stream. Returns std::nullopt if the stream ends, cannot be read any
/// further or times out.
std::optional<nlohmann::json> nextEvent(LineReader &lines)
{
    try {
        while (const auto line = lines.next()) {
            if (line->starts_with(EventDataPrefix)) {
                return nlohmann::json::parse(line->substr(EventDataPrefix.size()), nullptr, false);
            }
        }
    } catch (const Poco::Exception &error) {
        Log.debug("A response stream broke off: " + error.displayText() + ".");
    }
    return std::nullopt;
}

/// An event of a generation.
struct EngineEvent
{
    RequestId request;
    bool end = false;
    std::int64_t tokens = -1; ///< Of the whole answer, in the end event.
    std::int64_t position = -1; ///< Of the text, in tokens.
    std::string text;
};

/// Returns std::nullopt if the event or one of its fields has another type.
std::optional<EngineEvent> decodeEvent(const nlohmann::json &json)
{
    try {
        return EngineEvent{RequestId(json.value("request_id", "")), json.value("end", false),
                           json.value("tokens", std::int64_t{-1}),
                           json.value("position", std::int64_t{-1}), json.value("text", "")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

HttpModelEngine::HttpModelEngine(BackendTimeouts timeouts, ConnectionPool &pool, const Clock &clock)
    : m_timeouts(timeouts)
    , m_pool(pool)
    , m_clock(clock)
{
}

Result<BackendReport> HttpModelEngine::report(const Endpoint &address)
{
    try {
        return BackendConnection(address, m_timeouts.connect).readReport();
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::BackendBroken, address.text() + ": " + error.displayText());
    }
}

EngineOutcome HttpModelEngine::generate(const BackendTarget &target, const EngineRequest &request,
                                        DeltaSink &sink, TimePoint now)
{
    EngineOutcome outcome;
    outcome.generated = request.resumeFrom;
    auto taken = m_pool.acquire(target, now);
    if (!taken.ok()) {
        outcome.failure = taken.failure();
        return outcome;
    }
    std::unique_ptr<BackendConnection> connection = std::move(taken.value());
    try {
        HttpRequestHead message;
        message.target = "/generate";
        const Duration remaining = request.deadline - m_clock.now();
        connection->setReceiveTimeout(
            std::min(m_timeouts.firstByte, std::max(remaining, Duration(1ms))));
        HttpResponseReader &response =
            connection->post(std::move(message), encodeRequest(request), MaxStreamBytes);
        const int status = response.readHead().status;
        if (status == HttpStatus::Unavailable) {
            outcome.failure = makeFailure(Errc::BackendOverloaded,
                                          target.instance.value() + " refused the request");
            return outcome;
        }
        if (status != HttpStatus::Ok) {
            outcome.failure = backendBroken(target.instance.value() + " responded with status "
                                            + std::to_string(status));
            return outcome;
        }
        outcome = readStream(response, *connection, request, sink);
        if (outcome.complete && response.reusable()) {
            m_pool.release(target.address, std::move(connection));
        }
    } catch (const Poco::Exception &error) {
        outcome.failure = backendBroken(target.instance.value() + ": " + error.displayText());
    }
    return outcome;
}

EngineOutcome HttpModelEngine::readStream(HttpResponseReader &response,
                                          BackendConnection &connection,
                                          const EngineRequest &request, DeltaSink &sink) const
{
    LineReader stream(response);
    EngineOutcome outcome;
    outcome.generated = request.resumeFrom;
    while (const auto json = nextEvent(stream)) {
        const std::optional<EngineEvent> event = decodeEvent(*json);
        if (!event) {
            outcome.failure = backendBroken("received a malformed stream event");
            return outcome;
        }
        if (event->request != request.request) {
            outcome.failure = backendBroken("received a stream event of another request");
            return outcome;
        }
        if (event->end) {
            if (event->tokens != outcome.generated.value()) {
                outcome.failure = backendBroken(
                    "the token count of the end event differs from the tokens received");
                return outcome;
            }
            // The response must be read to its end before the connection can be reused.
            while (nextEvent(stream)) { }
            outcome.complete = true;
            return outcome;
        }
        if (event->position != outcome.generated.value()) {
            outcome.failure = backendBroken("a stream event is missing or repeated");
            return outcome;
        }
        outcome.generated = outcome.generated.next();
        if (!sink.onDelta(event->text)) {
            outcome.cancelled = true;
            return outcome;
        }
        const Duration remaining = request.deadline - m_clock.now();
        if (remaining <= Duration::zero()) {
            outcome.failure = makeFailure(
                Errc::DeadlineExceeded, "the deadline expired during the response", RunState::Ran);
            return outcome;
        }
        connection.setReceiveTimeout(std::min(m_timeouts.streamIdle, remaining));
    }
    outcome.failure = backendBroken("the response stream ended early or timed out");
    return outcome;
}

Status HttpModelEngine::order(const Endpoint &address, const EngineOrder &order)
{
    const nlohmann::json body{{"order", order.kind == OrderKind::Load ? "load" : "unload"},
                              {"version", order.version.value()},
                              {"fence", order.fencingToken.value()}};
    const auto response =
        HttpClient(address, m_timeouts.connect).send({"POST", "/orders", body.dump(), ""});
    if (!response.ok()) {
        return response.failure();
    }
    if (response.value().status != HttpStatus::Ok) {
        return makeFailure(Errc::BackendFailed,
                           "engine refused the order: " + response.value().body);
    }
    return std::nullopt;
}

} // namespace lycheearch
