#include "Daemon/CallerHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <nlohmann/json.hpp>

#include "Base/Logger.h"
#include "Daemon/ChatStreamWriter.h"
#include "Daemon/JsonResponse.h"

namespace lycheearch {

namespace {

constexpr int HttpOk = 200;
const std::string ServicesPath = "/v1/services/";
const Logger Log("caller");

/// Counts a request as in flight for the lifetime of this object.
class InFlightGuard
{
public:
    explicit InFlightGuard(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~InFlightGuard() { --m_count; }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    std::atomic<int> &m_count;
};

std::string completionJson(const RequestContext &context)
{
    const RequestResult &result = *context.result;
    return nlohmann::json{{"id", context.request.id.value()},
                          {"object", "chat.completion"},
                          {"model", context.request.model.value()},
                          {"version", result.version.value()},
                          {"choices",
                           {{{"index", 0},
                             {"message", {{"role", "assistant"}, {"content", result.text}}},
                             {"finish_reason", "stop"}}}},
                          {"usage", {{"completion_tokens", result.tokens.value()}}}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CallerHandler::CallerHandler(const FrontEndDependencies &dependencies, CallerSockets &sockets)
    : m_dependencies(dependencies)
    , m_sockets(sockets)
    , m_reader(dependencies.settings.limits.maxBodyBytes,
               dependencies.settings.timing.defaultDeadline)
{
}

void CallerHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                  Poco::Net::HTTPServerResponse &response)
{
    const InFlightGuard inFlight(m_dependencies.health.inFlight);
    RequestPhase phase(m_sockets, request);
    if (m_dependencies.health.draining || m_sockets.othersWait()) {
        response.setKeepAlive(false);
    }
    try {
        const std::string path = request.getURI().substr(0, request.getURI().find('?'));
        if (path == "/v1/chat/completions" && request.getMethod() == "POST") {
            chat(request, response, phase);
        } else if (path == "/v1/models" && request.getMethod() == "GET") {
            phase.set(CallerSockets::Phase::Sending);
            models(request, response);
        } else if (path.starts_with(ServicesPath) && request.getMethod() == "POST") {
            service(request, response, path.substr(ServicesPath.size()), phase);
        } else {
            phase.set(CallerSockets::Phase::Sending);
            sendFailure(response, makeFailure(Errc::NotFound, "path not found"), {});
        }
    } catch (const Poco::Exception &error) {
        Log.debug("Caller connection failed: " + error.displayText() + ".");
    }
}

Status CallerHandler::run(RequestContext &context, RequestPhase &phase) const
{
    phase.set(CallerSockets::Phase::Serving);
    Status failure = m_dependencies.pipeline.run(context);
    phase.set(CallerSockets::Phase::Sending);
    return failure;
}

void CallerHandler::chat(Poco::Net::HTTPServerRequest &request,
                         Poco::Net::HTTPServerResponse &response, RequestPhase &phase)
{
    const TimePoint now = m_dependencies.clock.now();
    const auto read = m_reader.readChat(request, now);
    phase.set(CallerSockets::Phase::Sending);
    if (!read.ok()) {
        sendFailure(response, read.failure(), {});
        return;
    }
    RequestContext context;
    context.request = read.value();
    context.arrivedAt = now;
    ChatStreamWriter writer(response, context);
    context.stream = context.request.stream ? &writer : nullptr;
    const Status failure = run(context, phase);
    if (failure && writer.begun()) {
        writer.fail(failureJson(*failure, context.request.id));
    } else if (failure) {
        sendFailure(response, *failure, context.request.id);
    } else if (context.request.stream) {
        writer.finish(*context.result, context.replayed);
    } else {
        response.set("X-Request-Id", context.request.id.value());
        if (!context.sessionToken.empty()) {
            response.set("X-Session-Token", context.sessionToken);
        }
        sendJson(response, HttpOk, completionJson(context));
    }
}

void CallerHandler::service(Poco::Net::HTTPServerRequest &request,
                            Poco::Net::HTTPServerResponse &response, const std::string &path,
                            RequestPhase &phase)
{
    const std::size_t slash = path.find('/');
    if (slash == std::string::npos) {
        sendFailure(response,
                    makeFailure(Errc::NotFound, "expected the path /v1/services/SERVICE/OPERATION"),
                    {});
        return;
    }
    const TimePoint now = m_dependencies.clock.now();
    const auto read = m_reader.readService(request, ServiceId(path.substr(0, slash)),
                                           OperationName(path.substr(slash + 1)), now);
    phase.set(CallerSockets::Phase::Sending);
    if (!read.ok()) {
        sendFailure(response, read.failure(), {});
        return;
    }
    RequestContext context;
    context.request = read.value();
    context.arrivedAt = now;
    const Status failure = run(context, phase);
    if (failure) {
        sendFailure(response, *failure, context.request.id);
        return;
    }
    response.set("X-Request-Id", context.request.id.value());
    sendJson(response, HttpOk, context.result->text);
}

void CallerHandler::models(const Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response)
{
    const ConfigStatePtr config = m_dependencies.config.current();
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
