#pragma once

#include <cstdint>
#include <optional>
#include <span>
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

/// The header fields of a message, in order of arrival. Names are case-insensitive.
class HttpFields
{
public:
    void add(std::string name, std::string value);
    /// Replaces all fields of this name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    /// The value of the first field of this name, or null.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether \p token is in the comma-separated list of any field of this name, ignoring case.
    bool hasToken(std::string_view name, std::string_view token) const;
    const std::vector<HttpField> &all() const { return m_fields; }
    /// Memory that the fields take, in bytes.
    std::size_t memoryBytes() const;

private:
    std::vector<HttpField> m_fields;
};

/// Whether two strings are equal, ignoring the case of ASCII letters.
bool equalIgnoringCase(std::string_view left, std::string_view right);
/// \p text without leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view text);
/// Parses \p text, which must be an unsigned decimal number as a whole. Returns std::nullopt if it
/// is not, or if the number overflows.
std::optional<std::int64_t> parseNumber(std::string_view text);

/// Start line and header fields of a request.
struct HttpRequestHead
{
    std::string method;
    std::string target; ///< Path and query as received.
    HttpFields fields;
    bool keepAlive = true;
    bool isHttp10 = false;
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;
};

/// Memory that the head takes, in bytes.
std::size_t memoryBytes(const HttpRequestHead &head);

/// Start line and header fields of a response.
struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepAlive = true;
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;

    /// Whether the body ends only when the server closes the connection.
    bool isCloseDelimited() const;
};

/// Removes the hop-by-hop fields: the standard ones and those listed in the Connection field.
/// Fields named in \p endToEnd stay even if they are listed there: they are for the recipient of
/// the message, so that a sender may not list them (RFC 9110, 7.6.1).
void removeConnectionFields(HttpFields &fields, std::span<const std::string_view> endToEnd);

/// The start line, the header fields and the blank line after them.
std::string serializeRequestHead(const HttpRequestHead &head);
std::string serializeResponseHead(int status, std::string_view reason, const HttpFields &fields);

/// The standard reason phrase of a status, or "Unknown".
std::string_view reasonPhrase(int status);

/// One chunk of a chunked body.
std::string serializeChunk(std::string_view bytes);
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace lycheearch
