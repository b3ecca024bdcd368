#include "Daemon/CallerHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <nlohmann/json.hpp>

#include "Base/Logger.h"
#include "Daemon/CallerSink.h"
#include "Daemon/HttpAnswer.h"

namespace lycheearch {

namespace {

constexpr int HttpOk = 200;
const std::string ServicesPath = "/v1/services/";
const Logger Log("caller");

/// Counts a request as in flight for the lifetime of this object.
class InFlight
{
public:
    explicit InFlight(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~InFlight() { --m_count; }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

private:
    std::atomic<int> &m_count;
};

std::string completionJson(const RequestContext &context)
{
    const FinishedAnswer &answer = *context.answer;
    return nlohmann::json{{"id", context.request.id.value()},
                          {"object", "chat.completion"},
                          {"model", context.request.model.value()},
                          {"version", answer.version.value()},
                          {"choices",
                           {{{"index", 0},
                             {"message", {{"role", "assistant"}, {"content", answer.text}}},
                             {"finish_reason", "stop"}}}},
                          {"usage", {{"completion_tokens", answer.tokens.value()}}}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CallerHandler::CallerHandler(const FrontEndParts &parts)
    : m_parts(parts)
    , m_reader(parts.settings.limits.maxBodyBytes, parts.settings.timing.defaultDeadline)
{
}

void CallerHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                  Poco::Net::HTTPServerResponse &response)
{
    const InFlight inFlight(m_parts.health.inFlight);
    if (m_parts.health.draining) {
        response.setKeepAlive(false);
    }
    try {
        const std::string path = request.getURI().substr(0, request.getURI().find('?'));
        if (path == "/v1/chat/completions" && request.getMethod() == "POST") {
            chat(request, response);
        } else if (path == "/v1/models" && request.getMethod() == "GET") {
            models(request, response);
        } else if (path.starts_with(ServicesPath) && request.getMethod() == "POST") {
            service(request, response, path.substr(ServicesPath.size()));
        } else {
            sendFailure(response, makeFailure(Errc::NotFound, "path not found"), {});
        }
    } catch (const Poco::Exception &error) {
        Log.debug("Caller connection failed: " + error.displayText() + ".");
    }
}

void CallerHandler::chat(Poco::Net::HTTPServerRequest &request,
                         Poco::Net::HTTPServerResponse &response)
{
    const TimePoint now = m_parts.clock.now();
    const auto read = m_reader.readChat(request, now);
    if (!read.ok()) {
        sendFailure(response, read.failure(), {});
        return;
    }
    RequestContext context;
    context.request = read.value();
    context.arrivedAt = now;
    CallerSink sink(response, context);
    context.stream = context.request.stream ? &sink : nullptr;
    const Status failure = m_parts.pipeline.run(context);
    if (failure && sink.begun()) {
        sink.fail(failureJson(*failure, context.request.id));
    } else if (failure) {
        sendFailure(response, *failure, context.request.id);
    } else if (context.request.stream) {
        sink.finish(*context.answer, context.replayed);
    } else {
        response.set("X-Request-Id", context.request.id.value());
        if (!context.sessionToken.empty()) {
            response.set("X-Session-Token", context.sessionToken);
        }
        sendJson(response, HttpOk, completionJson(context));
    }
}

void CallerHandler::service(Poco::Net::HTTPServerRequest &request,
                            Poco::Net::HTTPServerResponse &response, const std::string &path)
{
    const std::size_t slash = path.find('/');
    if (slash == std::string::npos) {
        sendFailure(response,
                    makeFailure(Errc::NotFound, "expected the path /v1/services/SERVICE/OPERATION"),
                    {});
        return;
    }
    const TimePoint now = m_parts.clock.now();
    const auto read = m_reader.readService(request, ServiceId(path.substr(0, slash)),
                                           OperationName(path.substr(slash + 1)), now);
    if (!read.ok()) {
        sendFailure(response, read.failure(), {});
        return;
    }
    RequestContext context;
    context.request = read.value();
    context.arrivedAt = now;
    const Status failure = m_parts.pipeline.run(context);
    if (failure) {
        sendFailure(response, *failure, context.request.id);
        return;
    }
    response.set("X-Request-Id", context.request.id.value());
    sendJson(response, HttpOk, context.answer->text);
}

void CallerHandler::models(const Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response)
{
    const ConfigStatePtr config = m_parts.config.current();
    const AccountSpec *account =
        config->manifest->findAccountByKey(CallerRequestReader::bearerKey(request));
    if (account == nullptr) {
        sendFailure(response, makeFailure(Errc::Unauthenticated, "no client account has this key"),
                    {});
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const ModelId &model : account->models) {
        list.push_back({{"id", model.value()}, {"object", "model"}});
    }
    sendJson(response, HttpOk, nlohmann::json{{"object", "list"}, {"data", list}}.dump());
}

} // namespace lycheearch
