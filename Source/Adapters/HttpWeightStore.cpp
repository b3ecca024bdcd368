#include "Adapters/HttpWeightStore.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {
constexpr int HttpOk = 200;
constexpr Duration RetryAfter = 2s;
} // namespace

HttpWeightStore::HttpWeightStore(Endpoint address, Duration timeout)
    : m_client(std::move(address), timeout)
{
}

Status HttpWeightStore::reserveLoad(const VersionId &version)
{
    const nlohmann::json body{{"version", version.value()}};
    const auto response = m_client.send({"POST", "/weights/loads", body.dump(), ""});
    if (!response.ok()) {
        return response.failure();
    }
    if (response.value().status != HttpOk) {
        return makeFailure(Errc::Overloaded, "weight store refused the load reservation",
                           RunState::NotRun, RetryAfter);
    }
    return std::nullopt;
}

} // namespace lycheearch
