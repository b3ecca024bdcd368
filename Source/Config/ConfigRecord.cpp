#include "Config/ConfigRecord.h"

#include <array>

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {

struct TypeName
{
    ConfigRecordType type;
    const char *name;
};

constexpr std::array<TypeName, 5> TypeNames{{
    {ConfigRecordType::Manifest, "manifest"},
    {ConfigRecordType::DataCentre, "data_centre"},
    {ConfigRecordType::Instance, "instance"},
    {ConfigRecordType::VersionStop, "version_stop"},
    {ConfigRecordType::Snapshot, "snapshot"},
}};

} // namespace

std::string encodeConfigRecord(const ConfigRecord &record)
{
    nlohmann::json json;
    for (const TypeName &entry : TypeNames) {
        if (entry.type == record.type) {
            json["type"] = entry.name;
        }
    }
    json["operation"] = record.operation.value();
    json["validation"] = record.validationVersion;
    json["base"] = record.base.value();
    json["subject"] = record.subject;
    json["out"] = record.out;
    json["text"] = record.text;
    json["author"] = record.author;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ConfigRecord> decodeConfigRecord(const std::string &text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        ConfigRecord record;
        bool known = false;
        for (const TypeName &entry : TypeNames) {
            if (json.at("type") == entry.name) {
                record.type = entry.type;
                known = true;
            }
        }
        record.operation = OperationId(json.at("operation").get<std::string>());
        record.validationVersion = json.at("validation").get<int>();
        record.base = Revision(json.value("base", std::int64_t{0}));
        record.subject = json.value("subject", "");
        record.out = json.value("out", false);
        record.text = json.value("text", "");
        record.author = json.value("author", "");
        return known ? std::optional(record) : std::nullopt;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace lycheearch
