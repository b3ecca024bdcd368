#include "Adapters/HttpClient.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace lycheearch {

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
        // A session made from a connected socket uses the timeouts of the socket only.
        socket.setReceiveTimeout(span);
        socket.setSendTimeout(span);
        Poco::Net::HTTPClientSession session(socket);
        Poco::Net::HTTPRequest message(request.method, request.path,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        message.setContentLength(static_cast<std::streamsize>(request.body.size()));
        message.setContentType("application/json");
        if (!request.bearer.empty()) {
            message.setCredentials("Bearer", request.bearer);
        }
        run = RunState::Unknown;
        session.sendRequest(message) << request.body;
        Poco::Net::HTTPResponse answer;
        std::istream &stream = session.receiveResponse(answer);
        HttpResponse response;
        response.status = answer.getStatus();
        Poco::StreamCopier::copyToString(stream, response.body);
        const auto length = answer.getContentLength64();
        if (answer.hasContentLength() && length != static_cast<Poco::Int64>(response.body.size())) {
            return makeFailure(Errc::PlatformUnavailable,
                               "response of " + m_address.text() + " was truncated",
                               RunState::Unknown);
        }
        return response;
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::PlatformUnavailable,
                           m_address.text() + request.path + ": " + error.displayText(), run);
    }
}

} // namespace lycheearch
