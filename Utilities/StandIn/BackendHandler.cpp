#include "BackendHandler.h"

#include <algorithm>
#include <thread>

#include <Poco/Net/NetException.h>
#include <nlohmann/json.hpp>

namespace lycheearch::standin {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;
constexpr std::int64_t MaxAnswerTokens = 400;
const std::string CallPathPrefix = "/call/";

void pause(std::int64_t microseconds)
{
    std::this_thread::sleep_for(std::chrono::microseconds(microseconds));
}

/// Extracts the nonce that a caller put into its prompt or body to recognise its own answer;
/// "token" if there is none.
std::string extractNonce(const std::string &text)
{
    const std::string mark = "nonce=";
    const std::size_t at = text.find(mark);
    if (at == std::string::npos) {
        return "token";
    }
    const std::size_t start = at + mark.size();
    std::size_t end = start;
    while (end < text.size() && std::isalnum(static_cast<unsigned char>(text[end])) != 0) {
        ++end;
    }
    return text.substr(start, end - start);
}

/// Ends the request when the handler returns or throws, for example because the caller's connection
/// broke.
class InFlightGuard
{
public:
    explicit InFlightGuard(StandInBackend &backend)
        : m_backend(backend)
    {
    }
    ~InFlightGuard() { m_backend.end(); }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    StandInBackend &m_backend;
};

} // namespace

BackendHandler::BackendHandler(StandInBackend &backend)
    : m_backend(backend)
{
}

void BackendHandler::handle(Poco::Net::HTTPServerRequest &request,
                            Poco::Net::HTTPServerResponse &response)
{
    const std::string path = request.getURI();
    if (m_backend.faults().value("silent") > 0) {
        pause(m_backend.faults().value("silent") * 1000);
    }
    if (path == "/load") {
        sendJson(response, HttpOk, m_backend.report());
    } else if (path == "/generate") {
        generate(request, response);
    } else if (path.starts_with(CallPathPrefix)) {
        call(request, response, path.substr(CallPathPrefix.size()));
    } else if (path == "/orders") {
        order(request, response);
    } else {
        sendJson(response, HttpNotFound, "{}");
    }
}

void BackendHandler::generate(Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response)
{
    const auto json = nlohmann::json::parse(readBody(request));
    const auto version = json.at("version").get<std::string>();
    std::string id = json.at("request_id").get<std::string>();
    JournalEntry entry;
    entry.request = id;
    entry.subject = version;
    entry.resumedFrom = json.value("resume_from", std::int64_t{0});
    const bool refused = m_backend.faults().value("refuse") > 0 || !m_backend.isLoaded(version);
    if (refused || !m_backend.begin(entry)) {
        sendJson(response, HttpUnavailable, "{}");
        return;
    }
    const InFlightGuard running(m_backend);
    pause(m_backend.faults().value("slow") * 1000);
    const std::string nonce = extractNonce(json.at("prompt").get<std::string>());
    const std::int64_t length =
        std::min(json.value("max_tokens", MaxAnswerTokens), MaxAnswerTokens);
    if (m_backend.faults().consume("crossed")) {
        id = "another-request";
    }
    std::int64_t cutAfter = m_backend.faults().consume("cut") ? length / 2 : length + 1;
    response.setChunkedTransferEncoding(true);
    response.setContentType("text/event-stream");
    std::ostream &out = response.send();
    for (std::int64_t i = entry.resumedFrom; i < length; ++i) {
        if (cutAfter-- <= 0) {
            request.response().setKeepAlive(false);
            throw Poco::Net::NetException("connection cut by an injected fault");
        }
        pause(m_backend.spec().tokenMicroseconds);
        out << "data: "
            << nlohmann::json{{"request_id", id},
                              {"position", i},
                              {"text", nonce + "." + std::to_string(i) + " "}}
                   .dump()
            << "\n\n"
            << std::flush;
        if (!out) {
            return;
        }
    }
    out << "data: " << nlohmann::json{{"request_id", id}, {"end", true}, {"tokens", length}}.dump()
        << "\n\n"
        << std::flush;
}

void BackendHandler::call(Poco::Net::HTTPServerRequest &request,
                          Poco::Net::HTTPServerResponse &response, const std::string &operation)
{
    const std::string body = readBody(request);
    const std::string id = request.get("X-Request-Id", "");
    JournalEntry entry;
    entry.request = id;
    entry.subject = operation;
    entry.effect = extractNonce(body);
    if (m_backend.faults().value("refuse") > 0 || !m_backend.begin(entry)) {
        response.set("X-Run", "not_run");
        response.set("X-Request-Id", id);
        sendJson(response, HttpUnavailable, "{}");
        return;
    }
    const InFlightGuard running(m_backend);
    pause(m_backend.faults().value("slow") * 1000 + m_backend.spec().callMicroseconds);
    response.set("X-Request-Id", m_backend.faults().consume("crossed") ? "another-request" : id);
    if (m_backend.faults().consume("cut")) {
        response.setKeepAlive(false);
        response.setContentLength(1000);
        response.send() << "{" << std::flush;
        return;
    }
    sendJson(response, HttpOk,
             nlohmann::json{{"operation", operation}, {"nonce", entry.effect}}.dump());
}

void BackendHandler::order(Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response)
{
    const auto json = nlohmann::json::parse(readBody(request));
    const std::string error =
        m_backend.order(json.at("order"), json.at("version"), json.value("fence", std::int64_t{0}));
    sendJson(response, error.empty() ? HttpOk : HttpConflict,
             nlohmann::json{{"error", error}}.dump());
}

} // namespace lycheearch::standin
