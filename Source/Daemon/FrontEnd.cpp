#include "Daemon/FrontEnd.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>

#include "Daemon/CallerHandler.h"
#include "Daemon/OperatorHandler.h"

namespace lycheearch {

namespace {

constexpr int MaxQueued = 1024;
constexpr int MinThreads = 8;
constexpr int MaxRequestsPerConnection = 1'000'000;
constexpr Poco::Timespan::TimeDiff KeepAliveSeconds = 60;

bool isOperatorPath(const std::string &path)
{
    return path.starts_with("/v1/operator/") || path == "/livez" || path == "/readyz"
        || path == "/metrics";
}

class Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(const FrontEndParts &parts)
        : m_parts(parts)
    {
    }
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &request) override
    {
        if (isOperatorPath(request.getURI().substr(0, request.getURI().find('?')))) {
            return new OperatorHandler(m_parts);
        }
        return new CallerHandler(m_parts);
    }

private:
    const FrontEndParts &m_parts;
};

} // namespace

/// The HTTP server and its thread pool.
class FrontEnd::Private
{
public:
    explicit Private(const FrontEndParts &parts)
        : parts(parts)
        , threads("callers", MinThreads, parts.settings.limits.callerThreads)
    {
    }

    FrontEndParts parts;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

FrontEnd::FrontEnd(const FrontEndParts &parts)
    : m_private(std::make_unique<Private>(parts))
{
}

FrontEnd::~FrontEnd()
{
    stop();
}

Status FrontEnd::start()
{
    const Settings &settings = m_private->parts.settings;
    try {
        Poco::Net::ServerSocket socket(
            Poco::Net::SocketAddress(settings.listen.host, settings.listen.port), MaxQueued);
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(settings.limits.callerThreads);
        params->setMaxQueued(MaxQueued);
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(MaxRequestsPerConnection);
        params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory = new Factory(m_private->parts);
        m_private->server =
            std::make_unique<Poco::Net::HTTPServer>(factory, m_private->threads, socket, params);
        m_private->server->start();
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::InvalidSettings,
                           settings.listen.text() + ": " + error.displayText());
    }
    return std::nullopt;
}

void FrontEnd::stop()
{
    if (m_private->server) {
        m_private->server->stopAll(false);
        m_private->threads.joinAll();
        m_private->server.reset();
    }
}

} // namespace lycheearch
