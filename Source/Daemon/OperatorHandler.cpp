#include "Daemon/OperatorHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "Base/Hash.h"
#include "Base/Logger.h"
#include "Daemon/HttpAnswer.h"

namespace lycheearch {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
const Logger Log("operator");

template <typename Id>
nlohmann::json outList(const std::map<Id, OutMark> &marks)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, mark] : marks) {
        if (mark.out) {
            list.push_back({{"id", id.value()}, {"provisional", mark.provisional}});
        }
    }
    return list;
}

} // namespace

OperatorHandler::OperatorHandler(const FrontEndParts &parts)
    : m_parts(parts)
{
}

void OperatorHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                    Poco::Net::HTTPServerResponse &response)
{
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    if (path == "/livez") {
        sendJson(response, HttpOk, R"({"live":true})");
    } else if (path == "/readyz") {
        const bool ready =
            m_parts.config.current()->manifestRevision.value() > 0 && !m_parts.health.draining;
        sendJson(response, ready ? HttpOk : HttpUnavailable,
                 nlohmann::json{{"ready", ready}}.dump());
    } else if (path == "/metrics") {
        const std::string text = m_parts.metrics.text();
        response.setContentType("text/plain; version=0.0.4");
        response.sendBuffer(text.data(), text.size());
    } else {
        handleOperator(request, response, path);
    }
}

void OperatorHandler::handleOperator(Poco::Net::HTTPServerRequest &request,
                                     Poco::Net::HTTPServerResponse &response,
                                     const std::string &path)
{
    const bool allowed = equalInConstantTime(CallerRequestReader::bearerKey(request),
                                             m_parts.settings.secrets.operatorKey);
    if (!allowed) {
        sendFailure(response,
                    makeFailure(Errc::Unauthenticated, "operator key is missing or wrong"), {});
    } else if (path == "/v1/operator/status") {
        sendJson(response, HttpOk, statusText());
    } else if (path == "/v1/operator/timeline") {
        RequestId wanted;
        for (const auto &[name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
            if (name == "request") {
                wanted = RequestId(value);
            }
        }
        sendJson(response, HttpOk, encodeTimeline(m_parts.timeline.events(wanted)));
    } else if (path == "/v1/operator/records" && request.getMethod() == "POST") {
        takeRecord(request, response);
    } else {
        sendFailure(response, makeFailure(Errc::NotFound, "path not found"), {});
    }
}

void OperatorHandler::takeRecord(Poco::Net::HTTPServerRequest &request,
                                 Poco::Net::HTTPServerResponse &response)
{
    const CallerRequestReader reader(m_parts.settings.limits.maxBodyBytes,
                                     m_parts.settings.timing.defaultDeadline);
    const auto body = reader.readBody(request);
    auto record = body.ok() ? decodeConfigRecord(body.value()) : std::nullopt;
    const bool suitable = record
        && (record->type == ConfigRecordType::DataCentre
            || record->type == ConfigRecordType::Instance);
    if (!suitable) {
        sendFailure(response,
                    makeFailure(Errc::Malformed,
                                "expected a record that takes a data centre or an instance out of "
                                "service or back in"),
                    {});
        return;
    }
    record->base = m_parts.config.current()->revision;
    const bool taken = m_parts.config.addProvisional(encodeConfigRecord(*record));
    Log.info(std::string("Provisional record for ") + record->subject
             + (taken ? " took effect." : " was already known."));
    sendJson(response, HttpOk, nlohmann::json{{"provisional", true}}.dump());
}

std::string OperatorHandler::statusText() const
{
    const TimePoint now = m_parts.clock.now();
    const ConfigStatePtr config = m_parts.config.current();
    nlohmann::json peers = nlohmann::json::array();
    for (const RosterMember &peer : m_parts.roster.peers()) {
        peers.push_back({{"id", peer.id.value()},
                         {"data_centre", peer.dataCentre.value()},
                         {"alive", m_parts.roster.isAlive(peer.id, now)},
                         {"leaving", peer.leaving}});
    }
    nlohmann::json backends = nlohmann::json::array();
    for (const BackendView &view : m_parts.backends.views()) {
        nlohmann::json versions = nlohmann::json::array();
        for (const VersionId &version : view.versions) {
            versions.push_back(version.value());
        }
        backends.push_back({{"id", view.instance.id.value()},
                            {"data_centre", view.instance.dataCentre.value()},
                            {"known", view.known},
                            {"cold", view.cold},
                            {"versions", versions},
                            {"outstanding", view.outstanding},
                            {"reported_in_flight", view.reportedInFlight}});
    }
    nlohmann::json stopped = nlohmann::json::object();
    for (const auto &[version, reason] : config->stoppedVersions) {
        stopped[version.value()] = reason;
    }
    const auto age = m_parts.config.age(now);
    return nlohmann::json{
        {"instance", m_parts.settings.instance.value()},
        {"data_centre", m_parts.settings.dataCentre.value()},
        {"revision", config->revision.value()},
        {"manifest_revision", config->manifestRevision.value()},
        {"config_age_ms", age ? toMilliseconds(*age) : -1},
        {"ready", config->manifestRevision.value() > 0 && !m_parts.health.draining},
        {"claims_complete", m_parts.claims.complete()},
        {"in_flight", m_parts.health.inFlight.load()},
        {"pending_bills", m_parts.billing.pending()},
        {"kept_bills", m_parts.kept.size(KeptKind::Bill)},
        {"data_centres_out", outList(config->dataCentres)},
        {"instances_out", outList(config->instances)},
        {"stopped_versions", stopped},
        {"peers", peers},
        {"backends", backends}}
        .dump();
}

} // namespace lycheearch
