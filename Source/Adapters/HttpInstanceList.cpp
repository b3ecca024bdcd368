#include "Adapters/HttpInstanceList.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {

Endpoint endpointOf(const nlohmann::json &json, const char *key)
{
    return Endpoint::parse(json.value(key, "")).value_or(Endpoint{});
}

InstanceRecord decodeInstance(const nlohmann::json &json)
{
    InstanceRecord record;
    record.id = InstanceId(json.at("id").get<std::string>());
    const auto kind = json.at("kind").get<std::string>();
    record.kind = kind == "engine" ? InstanceKind::Engine
        : kind == "service"        ? InstanceKind::Service
                                   : InstanceKind::Entry;
    record.dataCentre = DataCentreId(json.at("data_centre").get<std::string>());
    record.address = endpointOf(json, "address");
    record.peerAddress = endpointOf(json, "peer_address");
    record.backendClass = json.value("class", "");
    record.service = ServiceId(json.value("service", ""));
    record.leaving = json.value("state", "live") == "leaving";
    return record;
}

} // namespace

HttpInstanceList::HttpInstanceList(Endpoint address, Duration timeout)
    : m_client(std::move(address), timeout)
{
}

Result<std::vector<InstanceRecord>> HttpInstanceList::read()
{
    const auto response = m_client.send({"GET", "/instances", "", ""});
    if (!response.ok()) {
        return response.failure();
    }
    try {
        std::vector<InstanceRecord> records;
        const auto json = nlohmann::json::parse(response.value().body);
        for (const nlohmann::json &item : json.at("instances")) {
            records.push_back(decodeInstance(item));
        }
        return records;
    } catch (const nlohmann::json::exception &error) {
        return makeFailure(Errc::PlatformUnavailable,
                           std::string("instance list is malformed: ") + error.what());
    }
}

} // namespace lycheearch
