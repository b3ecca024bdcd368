#include "Adapters/HttpRatingService.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

HttpRatingService::HttpRatingService(Endpoint address, Duration timeout)
    : m_address(address)
    , m_client(std::move(address), timeout)
{
}

Result<double> HttpRatingService::rate(const RatingRequest &request)
{
    if (m_address.empty()) {
        return makeFailure(Errc::PlatformUnavailable, "no rating service is configured");
    }
    const nlohmann::json body{{"request_id", request.request.value()},
                              {"version", request.version.value()},
                              {"task_class", request.taskClass.value()},
                              {"prompt", request.prompt},
                              {"answer", request.answer}};
    const auto response = m_client.send({"POST", "/ratings", body.dump(), ""});
    if (!response.ok()) {
        return response.failure();
    }
    const auto json = nlohmann::json::parse(response.value().body, nullptr, false);
    if (!json.is_object() || !json.contains("score") || !json["score"].is_number()) {
        return makeFailure(Errc::PlatformUnavailable, "rating service response has no score");
    }
    const double score = json["score"].get<double>();
    if (!(score >= 0.0 && score <= 1.0)) {
        return makeFailure(Errc::PlatformUnavailable,
                           "rating service responded with a score out of range");
    }
    return score;
}

} // namespace lycheearch
