#include "Request/RequestContext.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

std::string encodeFinishedAnswer(const FinishedAnswer &answer)
{
    nlohmann::json json{{"text", answer.text},
                        {"tokens", answer.tokens.value()},
                        {"version", answer.version.value()},
                        {"body_hash", answer.bodyHash}};
    if (answer.failure) {
        json["failure"] = {{"code", answer.failure->code.value()},
                           {"message", answer.failure->message},
                           {"run", static_cast<int>(answer.failure->run)}};
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<FinishedAnswer> decodeFinishedAnswer(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        FinishedAnswer answer;
        answer.text = json.at("text").get<std::string>();
        answer.tokens = Tokens(json.at("tokens").get<std::int64_t>());
        answer.version = VersionId(json.at("version").get<std::string>());
        answer.bodyHash = json.at("body_hash").get<std::string>();
        if (json.contains("failure")) {
            const auto &failure = json["failure"];
            answer.failure = makeFailure(static_cast<Errc>(failure.at("code").get<int>()),
                                         failure.at("message").get<std::string>(),
                                         static_cast<RunState>(failure.at("run").get<int>()));
        }
        return answer;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace lycheearch
