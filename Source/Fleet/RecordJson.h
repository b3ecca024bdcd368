#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

namespace lycheearch {

/// A record that is nested too deeply, or a field that is missing, or whose type or value is not
/// allowed.
class RecordFormatError : public std::runtime_error
{
public:
    RecordFormatError(const std::string &field, const std::string &expected)
        : std::runtime_error("at " + field + ": expected " + expected)
    {
    }
};

/// Values that a whole number in a record may have, both ends included.
struct IntegerRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Parses the JSON text of a record, which any writer may have left in the store. Throws
/// RecordFormatError if it is nested deeper than any record of the formats, before memory is spent
/// on it, and nlohmann::json::exception if it is no JSON.
nlohmann::json parseRecordJson(const std::string &text);

/// The member of an object. Throws RecordFormatError if there is none; \p expected tells what it
/// should be.
const nlohmann::json &requireMember(const nlohmann::json &object, const char *name,
                                    const char *expected);
/// A member that is a whole number within the range. Throws RecordFormatError.
std::int64_t requireInteger(const nlohmann::json &object, const char *name, IntegerRange range);

} // namespace lycheearch
