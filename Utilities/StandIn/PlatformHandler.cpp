#include "PlatformHandler.h"

#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace lycheearch::standin {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;
const std::string StreamsPathPrefix = "/streams/";

std::int64_t queryParameter(const Poco::URI &uri, const std::string &name, std::int64_t fallback)
{
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return Poco::NumberParser::parse64(value);
        }
    }
    return fallback;
}

void pauseMilliseconds(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace

PlatformHandler::PlatformHandler(StandInEnvironment &environment)
    : m_environment(environment)
{
}

void PlatformHandler::handle(Poco::Net::HTTPServerRequest &request,
                             Poco::Net::HTTPServerResponse &response)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    if (path.starts_with(StreamsPathPrefix)) {
        log(request, response);
    } else if (path == "/instances") {
        const bool down = m_environment.faults().value("list_down") > 0;
        sendJson(response, down ? HttpUnavailable : HttpOk, m_environment.instanceListText());
    } else if (path == "/ratings") {
        rating(request, response);
    } else if (path == "/weights/loads") {
        const bool down = m_environment.faults().value("weights_down") > 0;
        sendJson(response, down ? HttpUnavailable : HttpOk, "{}");
    } else if (path == "/control") {
        control(request, response);
    } else if (path == "/journal") {
        const auto first = queryParameter(Poco::URI(request.getURI()), "first", 0);
        sendJson(response, HttpOk, m_environment.journal().text(static_cast<std::size_t>(first)));
    } else {
        sendJson(response, HttpNotFound, "{}");
    }
}

void PlatformHandler::log(Poco::Net::HTTPServerRequest &request,
                          Poco::Net::HTTPServerResponse &response)
{
    const Poco::URI uri(request.getURI());
    const std::string rest = uri.getPath().substr(StreamsPathPrefix.size());
    const std::string stream = rest.substr(0, rest.find('/'));
    const std::string body = readBody(request);
    if (m_environment.faults().value("log_down") > 0) {
        sendJson(response, HttpUnavailable, "{}");
        return;
    }
    pauseMilliseconds(m_environment.faults().value("log_slow"));
    if (request.getMethod() == "GET") {
        sendJson(
            response, HttpOk,
            m_environment.log().read(stream, queryParameter(uri, "from", 0),
                                     static_cast<std::size_t>(queryParameter(uri, "max", 1000)),
                                     std::chrono::milliseconds(queryParameter(uri, "wait_ms", 0))));
        return;
    }
    const auto records = nlohmann::json::parse(body).at("records").get<std::vector<std::string>>();
    const std::int64_t first = m_environment.log().append(stream, records);
    if (m_environment.faults().consume("log_lose_answer")) {
        response.setKeepAlive(false);
        response.setContentLength(1000);
        response.send() << std::flush;
        return;
    }
    sendJson(response, HttpOk, nlohmann::json{{"first_offset", first}}.dump());
}

void PlatformHandler::rating(Poco::Net::HTTPServerRequest &request,
                             Poco::Net::HTTPServerResponse &response)
{
    const auto json = nlohmann::json::parse(readBody(request));
    pauseMilliseconds(m_environment.faults().value("rating_slow"));
    if (m_environment.faults().value("rating_down") > 0) {
        sendJson(response, HttpUnavailable, "{}");
        return;
    }
    const double score = m_environment.score(json.at("request_id"), json.at("version"));
    sendJson(response, HttpOk, nlohmann::json{{"score", score}}.dump());
}

void PlatformHandler::control(Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response)
{
    const auto json = nlohmann::json::parse(readBody(request));
    const std::string action = json.at("action");
    const std::string target = json.value("target", "");
    StandInBackend *backend = m_environment.findBackend(target);
    if (action == "fault" && target.empty()) {
        m_environment.faults().set(json.at("name"), json.at("value"));
    } else if (action == "fault" && backend != nullptr) {
        backend->faults().set(json.at("name"), json.at("value"));
    } else if (action == "cold" && backend != nullptr) {
        backend->restartCold();
    } else if (action == "quality") {
        m_environment.setQuality(target, json.at("value"));
    } else if (action == "leaving") {
        m_environment.setLeaving(target, json.at("value").get<bool>());
    } else if (action == "remove") {
        m_environment.removeInstance(target);
    } else if (action == "add_entry") {
        m_environment.setInstance({target, "entry", json.at("data_centre"), json.at("address"),
                                   json.at("peer_address"), "", ""});
    } else if (action == "truncate") {
        m_environment.log().truncate(target, json.at("value").get<std::size_t>());
    } else if (action == "clear_journal") {
        m_environment.journal().clear();
    } else {
        sendJson(response, HttpNotFound, "{\"error\":\"no such action or target\"}");
        return;
    }
    sendJson(response, HttpOk, nlohmann::json{{"appends", m_environment.log().appends()}}.dump());
}

} // namespace lycheearch::standin
