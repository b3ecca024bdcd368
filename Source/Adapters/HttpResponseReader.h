#pragma once

#include <memory>
#include <string>

#include <Poco/Net/StreamSocket.h>

#include "Net/HttpParser.h"

namespace lycheearch {

/// Sends a request on a blocking connection and reads its response. Unlike the library's reader, it
/// bounds what it holds, and takes neither a malformed head nor a response that was cut off for a
/// whole one. All functions that read throw Poco::Exception if the connection fails or times out,
/// or if the bytes are no response within the limits.
class HttpResponseReader : private HttpResponseSink
{
public:
    HttpResponseReader(const Poco::Net::StreamSocket &socket, HttpLimits limits);

    /// Sends \p bytes. If the server stops reading them, its response can still be read, but then
    /// one without a length is never whole.
    void send(std::string_view bytes);
    /// Reads the head of the response. Interim responses (1xx) before it are skipped.
    const HttpResponseHead &readHead();
    /// Returns the next part of the body, or nothing at its end.
    std::string readSome();
    /// Reads the rest of the body.
    std::string readBody();
    /// Whether the connection can carry another request: the response was read to its end and the
    /// server neither closes the connection nor has sent anything else.
    bool reusable() const;

private:
    void restartParser();
    void receive();
    void feed();
    void finish();
    void onResponseHead(HttpResponseHead head) override;
    void onResponseBody(std::string_view bytes) override { m_body.append(bytes); }

    Poco::Net::StreamSocket m_socket;
    HttpLimits m_limits;
    std::unique_ptr<HttpResponseParser> m_parser;
    std::string m_input;
    HttpResponseHead m_head;
    std::string m_body; ///< Received and not yet returned.
    std::size_t m_receivedBytes = 0;
    int m_interimCount = 0;
    bool m_sendFailed = false;
};

} // namespace lycheearch
