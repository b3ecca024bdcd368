#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include "Fleet/RoutingConfig.h"

namespace lycheearch {

/// A record that is nested too deeply, or a field that is missing, or whose type or value is not
/// allowed.
class RecordFormatError : public std::runtime_error
{
public:
    RecordFormatError(const std::string &field, const std::string &expected)
        : std::runtime_error("at " + field + ": expected " + expected)
        , m_field(field)
        , m_expected(expected)
    {
    }

    /// The same error of a part of a record; \p place is the part, followed by a point.
    RecordFormatError within(const std::string &place) const
    {
        return {place + m_field, m_expected};
    }

private:
    std::string m_field;
    std::string m_expected;
};

/// Arrays and objects that may enclose a value of a record; deeper than any record of the formats.
constexpr int MaxRecordDepth = 32;
/// Bytes of a record; a longer one is refused before memory is spent on its values.
constexpr std::size_t MaxRecordBytes = 8UL * 1024 * 1024;
/// Routes of a configuration; more than a record of the greatest size has.
constexpr std::size_t MaxRoutes = 32'768;

/// Values that a whole number in a record may have, both ends included.
struct IntegerRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Throws RecordFormatError if the text is longer than MaxRecordBytes.
void requireRecordSize(const std::string &text);

/// Parses the JSON text of a record, which any writer may have left in the store. Throws
/// RecordFormatError if it is longer or nested deeper than any record of the formats, before memory
/// is spent on it, and nlohmann::json::exception if it is no JSON.
nlohmann::json parseRecordJson(const std::string &text);

/// The member of an object. Throws RecordFormatError if there is none; \p expected tells what it
/// should be.
const nlohmann::json &requireMember(const nlohmann::json &object, const char *name,
                                    const char *expected);
/// The error of a record with more than MaxRoutes in the array \p member.
RecordFormatError tooManyRoutes(const std::string &member);
/// Throws RecordFormatError, with the place in the array \p member, if two routes have one name.
void requireDistinctNames(const RouteList &routes, const std::string &member);
/// The place of an element of an array, followed by a point.
std::string placeOf(const std::string &member, std::size_t index);
/// A member that is a whole number within the range. Throws RecordFormatError.
std::int64_t requireInteger(const nlohmann::json &object, const char *name, IntegerRange range);

} // namespace lycheearch
