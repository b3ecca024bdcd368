#include "Fleet/RecordJson.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// The number of arrays and objects that enclose the innermost value of JSON text. Text that is no
/// JSON has some depth, too.
int depthOf(const std::string &text)
{
    int depth = 0;
    int deepest = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted) {
            i += c == '\\' ? 1 : 0;
            quoted = c != '"';
        } else if (c == '"') {
            quoted = true;
        } else if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return deepest;
}

} // namespace

void requireRecordSize(const std::string &text)
{
    if (text.size() > MaxRecordBytes) {
        throw RecordFormatError("the record",
                                "at most " + std::to_string(MaxRecordBytes) + " bytes");
    }
}

nlohmann::json parseRecordJson(const std::string &text)
{
    requireRecordSize(text);
    if (depthOf(text) > MaxRecordDepth) {
        throw RecordFormatError("the record",
                                "at most " + std::to_string(MaxRecordDepth) + " nested values");
    }
    return nlohmann::json::parse(text);
}

const nlohmann::json &requireMember(const nlohmann::json &object, const char *name,
                                    const char *expected)
{
    if (!object.is_object() || !object.contains(name)) {
        throw RecordFormatError(name, expected);
    }
    return object.at(name);
}

std::int64_t requireInteger(const nlohmann::json &object, const char *name, IntegerRange range)
{
    const nlohmann::json &value = requireMember(object, name, "an integer");
    // An unsigned number beyond the signed range must not become a negative one.
    const bool tooLarge =
        value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{INT64_MAX};
    if (!value.is_number_integer() || tooLarge || value.get<std::int64_t>() < range.lowest
        || value.get<std::int64_t>() > range.highest) {
        throw RecordFormatError(name,
                                "an integer from " + std::to_string(range.lowest) + " to "
                                    + std::to_string(range.highest));
    }
    return value.get<std::int64_t>();
}

RecordFormatError tooManyRoutes(const std::string &member)
{
    return {member, "at most " + std::to_string(MaxRoutes) + " routes"};
}

void requireDistinctNames(const RouteList &routes, const std::string &member)
{
    if (const auto index = findDoubledName(routes)) {
        throw RecordFormatError(placeOf(member, *index) + "name", "one that no other route has");
    }
}

std::string placeOf(const std::string &member, std::size_t index)
{
    return member + "[" + std::to_string(index) + "].";
}

} // namespace lycheearch
