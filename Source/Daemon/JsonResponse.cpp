#include "Daemon/JsonResponse.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {
constexpr std::int64_t MillisecondsPerSecond = 1000;
}

std::string failureJson(const Failure &failure, const RequestId &request)
{
    nlohmann::json error{{"code", failure.code.message()},
                         {"message", failure.message},
                         {"run", runStateName(failure.run)},
                         {"request_id", request.value()}};
    if (failure.retryAfter > Duration::zero()) {
        error["retry_after_ms"] = toMilliseconds(failure.retryAfter);
    }
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
}

int httpStatusCode(const Failure &failure)
{
    switch (static_cast<Errc>(failure.code.value())) {
    case Errc::Malformed:
        return 400;
    case Errc::Unauthenticated:
        return 401;
    case Errc::AccountForbidsModel:
        return 403;
    case Errc::UnknownModel:
    case Errc::UnknownOperation:
    case Errc::NotFound:
        return 404;
    case Errc::ClaimedElsewhere:
        return 409;
    case Errc::VersionWithdrawn:
        return 410;
    case Errc::TooLarge:
        return 413;
    case Errc::KeyReused:
        return 422;
    case Errc::DeadlineExceeded:
        return 504;
    case Errc::OutcomeUnknown:
    case Errc::BackendFailed:
    case Errc::BackendBroken:
        return 502;
    default:
        return 503;
    }
}

void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

void sendFailure(Poco::Net::HTTPServerResponse &response, const Failure &failure,
                 const RequestId &request)
{
    response.set("X-Request-Id", request.value());
    if (failure.retryAfter > Duration::zero()) {
        const std::int64_t seconds =
            (toMilliseconds(failure.retryAfter) + MillisecondsPerSecond - 1)
            / MillisecondsPerSecond;
        response.set("Retry-After", std::to_string(seconds));
    }
    if (failure.code == Errc::TooLarge) {
        response.setKeepAlive(false);
    }
    sendJson(response, httpStatusCode(failure), failureJson(failure, request));
}

} // namespace lycheearch
