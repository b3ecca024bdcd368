#include "Adapters/HttpClient.h"

#include <array>
#include <memory>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "Net/HttpParser.h"
#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

/// Larger responses are a failure.
constexpr HttpLimits ResponseLimits{64UL * 1024, 64UL * 1024 * 1024};
constexpr std::size_t ReceiveBufferBytes = 16UL * 1024;

/// Reads one response. The library's own reader takes a head or a chunked body that is cut off for
/// a whole one.
class ResponseReader : private HttpResponseSink
{
public:
    ResponseReader() { restart(); }

    /// Reads until the response is complete. Throws Poco::Exception if the connection ends before.
    HttpResponse read(Poco::Net::StreamSocket &socket)
    {
        std::array<char, ReceiveBufferBytes> buffer{};
        while (!m_parser->complete()) {
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                finish();
                break;
            }
            feed({buffer.data(), static_cast<std::size_t>(count)});
        }
        return std::move(m_response);
    }

private:
    void restart()
    {
        HttpResponseSink &sink = *this;
        m_parser = std::make_unique<HttpResponseParser>(ResponseLimits, false, sink);
    }

    void feed(std::string_view bytes)
    {
        m_input.append(bytes);
        m_parser->feed(m_input);
        while (m_parser->complete() && m_response.status < HttpStatus::Ok) {
            restart(); // It was an interim response (1xx).
            m_parser->feed(m_input);
        }
        if (m_parser->parseError() != HttpParseError::None) {
            throw Poco::Net::MessageException("the response is malformed or too large");
        }
    }

    void finish()
    {
        if (m_parser->headComplete()) {
            m_parser->finish();
        }
        if (!m_parser->complete()) {
            throw Poco::Net::MessageException("the response was truncated");
        }
    }

    void onResponseHead(HttpResponseHead head) override { m_response.status = head.status; }
    void onResponseBody(std::string_view bytes) override { m_response.body.append(bytes); }

    std::unique_ptr<HttpResponseParser> m_parser;
    std::string m_input;
    HttpResponse m_response;
};

std::string serialize(const HttpRequest &request, const Endpoint &address)
{
    HttpRequestHead head;
    head.method = request.method;
    head.target = request.path;
    head.fields.add("Host", address.text());
    head.fields.add("Connection", "close");
    head.fields.add("Content-Type", "application/json");
    head.fields.add("Content-Length", std::to_string(request.body.size()));
    if (!request.bearer.empty()) {
        head.fields.add("Authorization", "Bearer " + request.bearer);
    }
    return serializeRequestHead(head) + request.body;
}

void sendAll(Poco::Net::StreamSocket &socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const int sent = socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

} // namespace

HttpClient::HttpClient(Endpoint address, Duration timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

Result<HttpResponse> HttpClient::send(const HttpRequest &request) const
{
    return send(request, m_timeout);
}

Result<HttpResponse> HttpClient::send(const HttpRequest &request, Duration timeout) const
{
    RunState run = RunState::NotRun;
    try {
        const Poco::Timespan span(timeout.count());
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(m_address.host, m_address.port), span);
        socket.setNoDelay(true);
        socket.setReceiveTimeout(span);
        socket.setSendTimeout(span);
        run = RunState::Unknown;
        sendAll(socket, serialize(request, m_address));
        return ResponseReader().read(socket);
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::PlatformUnavailable,
                           m_address.text() + request.path + ": " + error.displayText(), run);
    }
}

} // namespace lycheearch
