#include "Forward/RelayFields.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace lycheearch {

namespace {

constexpr const char *AttemptsField = "Lycheearch-Relay-Attempts";
constexpr const char *MaxAttemptsField = "Lycheearch-Relay-Max-Attempts";
constexpr const char *TriedField = "Lycheearch-Relay-Tried"; ///< Ids, separated by commas.
constexpr const char *ConfigField = "Lycheearch-Relay-Config";
constexpr const char *BackendField = "Lycheearch-Relay-Backend";
constexpr const char *DeclinedField = "Lycheearch-Relay-Declined";
/// More attempts than any route allows.
constexpr std::int64_t MaxAttempts = 1000;

std::string takeText(HttpFields &fields, const char *name)
{
    const std::string *value = fields.find(name);
    const std::string text = value == nullptr ? "" : *value;
    fields.remove(name);
    return text;
}

int takeAttempts(HttpFields &fields, const char *name)
{
    const std::int64_t attempts = parseNumber(takeText(fields, name)).value_or(0);
    return static_cast<int>(std::min(attempts, MaxAttempts));
}

} // namespace

void addRelayFields(const RelayedRequest &relayed, HttpFields &fields)
{
    std::string tried;
    for (const InstanceId &server : relayed.tried) {
        tried += (tried.empty() ? "" : ",") + server.value();
    }
    fields.set(AttemptsField, std::to_string(relayed.attempts));
    fields.set(TriedField, tried);
    fields.set(ConfigField, std::to_string(relayed.config.value()));
    fields.remove(MaxAttemptsField);
    if (relayed.maxAttempts > 0) {
        fields.add(MaxAttemptsField, std::to_string(relayed.maxAttempts));
    }
}

void addRelayFields(const RelayedResponse &relayed, HttpFields &fields)
{
    fields.set(AttemptsField, std::to_string(relayed.attempts));
    fields.remove(BackendField);
    fields.remove(DeclinedField);
    if (!relayed.backend.empty()) {
        fields.add(BackendField, relayed.backend.value());
    }
    if (relayed.declined) {
        fields.add(DeclinedField, "1");
    }
}

RelayedRequest takeRelayedRequest(HttpFields &fields)
{
    RelayedRequest relayed;
    relayed.attempts = takeAttempts(fields, AttemptsField);
    relayed.maxAttempts = takeAttempts(fields, MaxAttemptsField);
    relayed.config = ConfigVersion(parseNumber(takeText(fields, ConfigField)).value_or(0));
    const std::string tried = takeText(fields, TriedField);
    std::size_t start = 0;
    while (start < tried.size()) {
        const std::size_t end = std::min(tried.find(',', start), tried.size());
        relayed.tried.emplace_back(tried.substr(start, end - start));
        start = end + 1;
    }
    return relayed;
}

RelayedResponse takeRelayedResponse(HttpFields &fields)
{
    RelayedResponse relayed;
    relayed.attempts = takeAttempts(fields, AttemptsField);
    relayed.backend = InstanceId(takeText(fields, BackendField));
    relayed.declined = takeText(fields, DeclinedField) == "1";
    return relayed;
}

} // namespace lycheearch
