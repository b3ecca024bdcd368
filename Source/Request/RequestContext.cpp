#include "Request/RequestContext.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

std::string encodeRequestResult(const RequestResult &result)
{
    nlohmann::json json{{"text", result.text},
                        {"tokens", result.tokens.value()},
                        {"version", result.version.value()},
                        {"body_hash", result.bodyHash}};
    if (result.failure) {
        json["failure"] = {{"code", result.failure->code.value()},
                           {"message", result.failure->message},
                           {"run", static_cast<int>(result.failure->run)}};
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<RequestResult> decodeRequestResult(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        RequestResult result;
        result.text = json.at("text").get<std::string>();
        result.tokens = Tokens(json.at("tokens").get<std::int64_t>());
        result.version = VersionId(json.at("version").get<std::string>());
        result.bodyHash = json.at("body_hash").get<std::string>();
        if (json.contains("failure")) {
            const auto &failure = json["failure"];
            result.failure = makeFailure(static_cast<Errc>(failure.at("code").get<int>()),
                                         failure.at("message").get<std::string>(),
                                         static_cast<RunState>(failure.at("run").get<int>()));
        }
        return result;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace lycheearch
