#include "Adapters/HttpClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include "Adapters/HttpResponseReader.h"

namespace lycheearch {

namespace {

/// Larger responses are a failure.
constexpr HttpLimits ResponseLimits{64UL * 1024, 64UL * 1024 * 1024};

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
        HttpResponseReader reader(socket, ResponseLimits);
        reader.send(serialize(request, m_address));
        const int status = reader.readHead().status;
        return HttpResponse{status, reader.readBody()};
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::PlatformUnavailable,
                           m_address.text() + request.path + ": " + error.displayText(), run);
    }
}

} // namespace lycheearch
