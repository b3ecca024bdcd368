#include "Adapters/BackendConnection.h"

#include <Poco/Net/NetException.h>
#include <nlohmann/json.hpp>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

constexpr std::size_t MaxHeadBytes = 64UL * 1024;
constexpr std::size_t MaxReportBytes = 1024UL * 1024;

Poco::Net::StreamSocket openSocket(const Endpoint &address, Duration timeout)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                   Poco::Timespan(timeout.count()));
    socket.setNoDelay(true);
    socket.setReceiveTimeout(Poco::Timespan(timeout.count()));
    socket.setSendTimeout(Poco::Timespan(timeout.count()));
    return socket;
}

} // namespace

BackendConnection::BackendConnection(const Endpoint &address, Duration timeout)
    : m_address(address)
    , m_socket(openSocket(address, timeout))
{
}

void BackendConnection::setReceiveTimeout(Duration timeout)
{
    m_socket.setReceiveTimeout(Poco::Timespan(timeout.count()));
}

HttpResponseReader &BackendConnection::send(const HttpRequestHead &head, std::string_view body,
                                            std::size_t maxBodyBytes)
{
    HttpRequestHead complete = head;
    complete.fields.add("Host", m_address.text());
    complete.fields.add("Connection", "Keep-Alive");
    const std::string request = serializeRequestHead(complete).append(body);
    m_reader.emplace(m_socket, HttpLimits{MaxHeadBytes, maxBodyBytes});
    m_reader->send(request);
    return *m_reader;
}

HttpResponseReader &BackendConnection::post(HttpRequestHead head, std::string_view body,
                                            std::size_t maxBodyBytes)
{
    head.method = "POST";
    head.fields.add("Content-Type", "application/json");
    head.fields.add("Content-Length", std::to_string(body.size()));
    return send(head, body, maxBodyBytes);
}

BackendReport BackendConnection::readReport()
{
    HttpRequestHead request;
    request.method = "GET";
    request.target = "/load";
    HttpResponseReader &response = send(request, {}, MaxReportBytes);
    const int status = response.readHead().status;
    const std::string body = response.readBody();
    if (status != HttpStatus::Ok) {
        throw Poco::Net::HTTPException("backend server refused the load report request");
    }
    if (!response.reusable()) {
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
