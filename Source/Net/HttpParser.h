#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "Net/HttpHead.h"

namespace lycheearch {

/// Size limits of one message.
struct HttpLimits
{
    std::uint32_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
};

/// More interim responses (1xx) than this to one request are a protocol error.
constexpr int MaxInterimResponses = 16;

/// Why a message could not be parsed.
enum class HttpParseError { None, Malformed, HeadTooLarge, BodyTooLarge, Truncated };

/// Receives the head and the body of one request as they are parsed.
class HttpRequestSink
{
public:
    virtual ~HttpRequestSink() = default;
    virtual void onRequestHead(HttpRequestHead head) = 0;
    virtual void onRequestBody(std::string_view bytes) = 0;
};

/// Receives the head and the body of one response as they are parsed.
class HttpResponseSink
{
public:
    virtual ~HttpResponseSink() = default;
    virtual void onResponseHead(HttpResponseHead head) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
};

/// Incremental parser of one request. To prevent request smuggling, a request is malformed if it
/// has two Content-Length fields, both Content-Length and Transfer-Encoding, or a transfer encoding
/// other than chunked.
class HttpRequestParser
{
public:
    HttpRequestParser(HttpLimits limits, HttpRequestSink &sink);
    ~HttpRequestParser();

    /// Parses \p input and erases the bytes that were consumed. Bytes after the end of the request
    /// stay in \p input.
    void feed(std::string &input);
    bool headComplete() const;
    bool complete() const;
    HttpParseError parseError() const;
    /// Memory of the fields that were parsed of an incomplete head, in bytes.
    std::size_t fieldMemoryBytes() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

/// Incremental parser of one response, with the same framing rules. A status that HTTP does not
/// define (RFC 9110, 15) and a folded field line (RFC 9112, 5.2) are malformed, too.
class HttpResponseParser
{
public:
    /// \p bodyless is set if the response has no body, because the request was a HEAD.
    HttpResponseParser(HttpLimits limits, bool bodyless, HttpResponseSink &sink);
    ~HttpResponseParser();

    void feed(std::string &input);
    /// To be called when the peer has closed the connection. Completes a body without a length; any
    /// other incomplete message is truncated.
    void finish();
    bool headComplete() const;
    bool complete() const;
    HttpParseError parseError() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
