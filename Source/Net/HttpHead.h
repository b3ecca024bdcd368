#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheearch {

/// One header field of a message.
struct HttpField
{
    std::string name;
    std::string value;
};

/// The header fields of a message in the order in which they came. Names ignore case.
class HttpFields
{
public:
    void add(std::string name, std::string value);
    /// Removes all fields of that name and adds one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    /// The first value, or null.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether the comma-separated list of a field holds \p token, ignoring case.
    bool hasToken(std::string_view name, std::string_view token) const;
    const std::vector<HttpField> &all() const { return m_fields; }

private:
    std::vector<HttpField> m_fields;
};

/// Whether two texts are equal but for the case of ASCII letters.
bool equalIgnoringCase(std::string_view left, std::string_view right);
/// Without white space at both ends.
std::string_view trimmed(std::string_view text);
/// Reads an unsigned decimal number that fills the whole text.
std::optional<std::int64_t> parseNumber(std::string_view text);

/// Start line and header fields of a request.
struct HttpRequestHead
{
    std::string method;
    std::string target; ///< Path and query as they came.
    HttpFields fields;
    bool keepAlive = true;
    bool httpOneZero = false;
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;
};

/// Start line and header fields of a response.
struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepAlive = true;
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;

    /// Whether the body ends with the connection only.
    bool endsWithConnection() const;
};

/// Removes the fields that concern only one connection: the standard ones and those that the
/// Connection field names.
void removeConnectionFields(HttpFields &fields);

/// The bytes of a start line with fields and the blank line.
std::string serializeRequestHead(const HttpRequestHead &head);
std::string serializeResponseHead(int status, std::string_view reason, const HttpFields &fields);

/// The standard reason phrase of a status.
std::string_view reasonPhrase(int status);

/// One chunk of a chunked body.
std::string serializeChunk(std::string_view bytes);
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace lycheearch
