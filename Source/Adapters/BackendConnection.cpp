#include "Adapters/BackendConnection.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

namespace lycheearch {

/// A client session whose writes fail on a lost connection. The library's own write would reconnect
/// and send the request again.
class BackendConnection::Session : public Poco::Net::HTTPClientSession
{
public:
    explicit Session(const Poco::Net::StreamSocket &socket)
        : Poco::Net::HTTPClientSession(socket)
    {
    }

protected:
    int write(const char *buffer, std::streamsize length) override
    {
        // HTTPClientSession::write() reconnects, so this calls its base class instead.
        // NOLINTNEXTLINE(bugprone-parent-virtual-call)
        return HTTPSession::write(buffer, length);
    }
};

namespace {

Poco::Net::StreamSocket openSocket(const Endpoint &address, Duration timeout)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                   Poco::Timespan(timeout.count()));
    socket.setNoDelay(true);
    // A session made from a connected socket uses the timeouts of the socket only.
    socket.setReceiveTimeout(Poco::Timespan(timeout.count()));
    socket.setSendTimeout(Poco::Timespan(timeout.count()));
    return socket;
}

constexpr int KeepAliveHours = 24;

} // namespace

BackendConnection::BackendConnection(const Endpoint &address, Duration timeout)
    : m_session(std::make_unique<Session>(openSocket(address, timeout)))
{
    m_session->setKeepAlive(true);
    m_session->setKeepAliveTimeout(Poco::Timespan(KeepAliveHours * Poco::Timespan::HOURS));
}

BackendConnection::~BackendConnection() = default;

Poco::Net::HTTPClientSession &BackendConnection::session()
{
    return *m_session;
}

void BackendConnection::setReceiveTimeout(Duration timeout)
{
    m_session->socket().setReceiveTimeout(Poco::Timespan(timeout.count()));
}

BackendReport BackendConnection::readReport()
{
    Poco::Net::HTTPRequest request("GET", "/load", Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(true);
    m_session->sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream &stream = m_session->receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString(stream, body);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
        throw Poco::Net::HTTPException("backend server refused the load report request");
    }
    if (!response.getKeepAlive()) {
        throw Poco::Net::ConnectionResetException(
            "backend server closes the connection after its load report");
    }
    return decodeBackendReport(body);
}

BackendReport decodeBackendReport(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        BackendReport report;
        report.startId = StartId(json.at("start_id").get<std::string>());
        report.cold = json.at("cold").get<bool>();
        report.inFlight = json.at("in_flight").get<int>();
        report.queued = json.value("queued", 0);
        for (const nlohmann::json &version : json.value("versions", nlohmann::json::array())) {
            report.versions.insert(VersionId(version.get<std::string>()));
        }
        return report;
    } catch (const nlohmann::json::exception &error) {
        throw Poco::DataFormatException(std::string("load report is malformed: ") + error.what());
    }
}

} // namespace lycheearch
