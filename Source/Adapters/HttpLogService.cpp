#include "Adapters/HttpLogService.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {

constexpr int HttpOk = 200;

std::string streamPath(const StreamName &stream)
{
    return "/streams/" + stream.value() + "/records";
}

LogSlice decodeSlice(const nlohmann::json &json)
{
    LogSlice slice;
    slice.firstOffset = Offset(json.at("first_offset").get<std::int64_t>());
    slice.nextOffset = Offset(json.at("next_offset").get<std::int64_t>());
    for (const nlohmann::json &record : json.at("records")) {
        slice.records.push_back({Offset(record.at("offset").get<std::int64_t>()),
                                 record.at("data").get<std::string>()});
    }
    return slice;
}

} // namespace

HttpLogService::HttpLogService(Endpoint address, Duration timeout)
    : m_client(std::move(address), timeout)
    , m_timeout(timeout)
{
}

Result<Offset> HttpLogService::append(const StreamName &stream,
                                      const std::vector<std::string> &records)
{
    const nlohmann::json body{{"records", records}};
    const auto response = m_client.send({"POST", streamPath(stream), body.dump(), ""});
    if (!response.ok()) {
        const bool sent = response.failure().run != RunState::NotRun;
        return makeFailure(sent ? Errc::LogUncertain : Errc::LogUnavailable,
                           response.failure().message, response.failure().run);
    }
    if (response.value().status != HttpOk) {
        return makeFailure(Errc::LogUnavailable,
                           "log responded with status " + std::to_string(response.value().status));
    }
    const auto json = nlohmann::json::parse(response.value().body, nullptr, false);
    if (!json.is_object() || !json.contains("first_offset")
        || !json["first_offset"].is_number_integer()) {
        return makeFailure(Errc::LogUncertain, "log response has no first offset",
                           RunState::Unknown);
    }
    return Offset(json["first_offset"].get<std::int64_t>());
}

Result<LogSlice> HttpLogService::read(const StreamName &stream, Offset from, std::size_t maxRecords,
                                      Duration wait)
{
    const std::string path = streamPath(stream) + "?from=" + std::to_string(from.value())
        + "&max=" + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(toMilliseconds(wait));
    const auto response = m_client.send({"GET", path, "", ""}, m_timeout + wait);
    if (!response.ok()) {
        return makeFailure(Errc::LogUnavailable, response.failure().message);
    }
    if (response.value().status != HttpOk) {
        return makeFailure(Errc::LogUnavailable,
                           "log responded with status " + std::to_string(response.value().status));
    }
    try {
        return decodeSlice(nlohmann::json::parse(response.value().body));
    } catch (const nlohmann::json::exception &error) {
        return makeFailure(Errc::LogUnavailable,
                           std::string("log response is malformed: ") + error.what());
    }
}

} // namespace lycheearch
