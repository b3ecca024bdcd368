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

/// Why a message could not be parsed.
enum class HttpParseError { None, Malformed, HeadTooLarge, BodyTooLarge, Truncated };

/// Receives the parts of one request while they are parsed.
class HttpRequestSink
{
public:
    virtual ~HttpRequestSink() = default;
    virtual void onRequestHead(HttpRequestHead head) = 0;
    virtual void onRequestBody(std::string_view bytes) = 0;
};

/// Receives the parts of one response while they are parsed.
class HttpResponseSink
{
public:
    virtual ~HttpResponseSink() = default;
    virtual void onResponseHead(HttpResponseHead head) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
};

/// Incremental parser of one request. Framing is strict, against request smuggling: a request with
/// two Content-Length fields, with both Content-Length and Transfer-Encoding, or with a transfer
/// encoding other than chunked is malformed.
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

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

/// Incremental parser of one response, with the same framing rules.
class HttpResponseParser
{
public:
    /// \p bodyless: the response has no body, since the request was a HEAD.
    HttpResponseParser(HttpLimits limits, bool bodyless, HttpResponseSink &sink);
    ~HttpResponseParser();

    void feed(std::string &input);
    /// Call when the peer has closed the connection. Completes a body without a length; any other
    /// incomplete message is truncated.
    void finish();
    bool headComplete() const;
    bool complete() const;
    HttpParseError parseError() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
