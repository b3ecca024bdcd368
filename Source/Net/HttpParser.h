#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "Net/HttpHead.h"

namespace lycheearch {

/// Bounds of one message.
struct HttpLimits
{
    std::uint32_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
};

/// Why a message can't be read.
enum class HttpFault { None, Malformed, HeadTooLarge, BodyTooLarge, Truncated };

/// Receives one request as it arrives.
class HttpRequestSink
{
public:
    virtual ~HttpRequestSink() = default;
    virtual void onRequestHead(HttpRequestHead head) = 0;
    virtual void onRequestBody(std::string_view bytes) = 0;
};

/// Receives one response as it arrives.
class HttpResponseSink
{
public:
    virtual ~HttpResponseSink() = default;
    virtual void onResponseHead(HttpResponseHead head) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
};

/// Reads one request from a stream of bytes. Framing is strict: a request with two lengths, with a
/// length and chunks, or with an unknown transfer encoding is malformed.
class HttpRequestParser
{
public:
    HttpRequestParser(HttpLimits limits, HttpRequestSink &sink);
    ~HttpRequestParser();

    /// Reads from the front of \p input and erases what was used. Bytes after the end of the
    /// request stay in \p input.
    void feed(std::string &input);
    bool headComplete() const;
    bool complete() const;
    HttpFault fault() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

/// Reads one response from a stream of bytes.
class HttpResponseParser
{
public:
    /// \p bodyless tells that the request was a HEAD.
    HttpResponseParser(HttpLimits limits, bool bodyless, HttpResponseSink &sink);
    ~HttpResponseParser();

    void feed(std::string &input);
    /// The connection ended. Completes a body that has no length.
    void finish();
    bool headComplete() const;
    bool complete() const;
    HttpFault fault() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
