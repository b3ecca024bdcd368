#include "Fleet/RecordJson.h"

#include <algorithm>

namespace lycheearch {

namespace {

/// Deeper than any record of the platform or of the daemons.
constexpr int MaxDepth = 32;

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

nlohmann::json parseRecordJson(const std::string &text)
{
    if (depthOf(text) > MaxDepth) {
        throw RecordFormatError("the record",
                                "at most " + std::to_string(MaxDepth) + " nested values");
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

} // namespace lycheearch
