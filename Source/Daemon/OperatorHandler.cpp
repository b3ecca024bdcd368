#include "Daemon/OperatorHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "Base/Hash.h"
#include "Base/Logger.h"
#include "Daemon/JsonResponse.h"

namespace lycheearch {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
const Logger Log("operator");

template <typename Id>
nlohmann::json outOfServiceJson(const std::map<Id, OutOfServiceMark> &marks)
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

OperatorHandler::OperatorHandler(const FrontEndDependencies &dependencies, CallerSockets &sockets)
    : m_dependencies(dependencies)
    , m_sockets(sockets)
{
}

void OperatorHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                    Poco::Net::HTTPServerResponse &response)
{
    RequestPhase phase(m_sockets, request);
    phase.set(CallerSockets::Phase::Serving);
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    if (path == "/livez") {
        sendJson(response, HttpOk, R"({"live":true})");
    } else if (path == "/readyz") {
        const bool ready = m_dependencies.config.current()->manifestRevision.value() > 0
            && !m_dependencies.health.draining;
        sendJson(response, ready ? HttpOk : HttpUnavailable,
                 nlohmann::json{{"ready", ready}}.dump());
    } else if (path == "/metrics") {
        const std::string text = m_dependencies.metrics.text();
        response.setContentType("text/plain; version=0.0.4");
        response.sendBuffer(text.data(), text.size());
    } else {
        handleOperatorRequest(request, response, path);
    }
}

void OperatorHandler::handleOperatorRequest(Poco::Net::HTTPServerRequest &request,
                                            Poco::Net::HTTPServerResponse &response,
                                            const std::string &path)
{
    const bool allowed = equalInConstantTime(CallerRequestReader::bearerKey(request),
                                             m_dependencies.settings.secrets.operatorKey);
    if (!allowed) {
        sendFailure(response,
                    makeFailure(Errc::Unauthenticated, "operator key is missing or wrong"), {});
    } else if (path == "/v1/operator/status") {
        sendJson(response, HttpOk, statusJson());
    } else if (path == "/v1/operator/timeline") {
        RequestId requestFilter;
        for (const auto &[name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
            if (name == "request") {
                requestFilter = RequestId(value);
            }
        }
        sendJson(response, HttpOk, encodeTimeline(m_dependencies.timeline.events(requestFilter)));
    } else if (path == "/v1/operator/records" && request.getMethod() == "POST") {
        addProvisionalRecord(request, response);
    } else {
        sendFailure(response, makeFailure(Errc::NotFound, "path not found"), {});
    }
}

void OperatorHandler::addProvisionalRecord(Poco::Net::HTTPServerRequest &request,
                                           Poco::Net::HTTPServerResponse &response)
{
    const CallerRequestReader reader(m_dependencies.settings.limits.maxBodyBytes,
                                     m_dependencies.settings.timing.defaultDeadline);
    const auto body = reader.readBody(request);
    auto record = body.ok() ? decodeConfigRecord(body.value()) : std::nullopt;
    const bool supported = record
        && (record->type == ConfigRecordType::DataCentre
            || record->type == ConfigRecordType::Instance);
    if (!supported) {
        sendFailure(response,
                    makeFailure(Errc::Malformed,
                                "expected a record that takes a data centre or an instance out of "
                                "service or back in"),
                    {});
        return;
    }
    record->base = m_dependencies.config.current()->revision;
    const bool added = m_dependencies.config.addProvisional(encodeConfigRecord(*record));
    Log.info(std::string("Provisional record for ") + record->subject
             + (added ? " took effect." : " was ignored: already known or not applicable."));
    sendJson(response, HttpOk, nlohmann::json{{"provisional", true}}.dump());
}

std::string OperatorHandler::statusJson() const
{
    const TimePoint now = m_dependencies.clock.now();
    const ConfigStatePtr config = m_dependencies.config.current();
    nlohmann::json peers = nlohmann::json::array();
    for (const PeerInfo &peer : m_dependencies.membership.peers()) {
        peers.push_back({{"id", peer.id.value()},
                         {"data_centre", peer.dataCentre.value()},
                         {"alive", m_dependencies.membership.isAlive(peer.id, now)},
                         {"leaving", peer.leaving}});
    }
    nlohmann::json backends = nlohmann::json::array();
    for (const BackendView &view : m_dependencies.backends.views()) {
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
    const auto age = m_dependencies.config.age(now);
    return nlohmann::json{
        {"instance", m_dependencies.settings.instance.value()},
        {"data_centre", m_dependencies.settings.dataCentre.value()},
        {"revision", config->revision.value()},
        {"manifest_revision", config->manifestRevision.value()},
        {"config_age_ms", age ? toMilliseconds(*age) : -1},
        {"ready", config->manifestRevision.value() > 0 && !m_dependencies.health.draining},
        {"claims_complete", m_dependencies.claims.complete()},
        {"in_flight", m_dependencies.health.inFlight.load()},
        {"pending_bills", m_dependencies.billing.pending()},
        {"kept_bills", m_dependencies.replicas.size(KeptKind::Bill)},
        {"data_centres_out", outOfServiceJson(config->dataCentres)},
        {"instances_out", outOfServiceJson(config->instances)},
        {"stopped_versions", stopped},
        {"peers", peers},
        {"backends", backends}}
        .dump();
}

} // namespace lycheearch
