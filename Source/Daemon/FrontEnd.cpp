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

constexpr int MaxQueuedConnections = 1024;
constexpr int MinThreads = 8;
constexpr int MaxRequestsPerConnection = 1'000'000;
constexpr Poco::Timespan::TimeDiff KeepAliveSeconds = 60;

bool isOperatorPath(const std::string &path)
{
    return path.starts_with("/v1/operator/") || path == "/livez" || path == "/readyz"
        || path == "/metrics";
}

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(const FrontEndDependencies &dependencies)
        : m_dependencies(dependencies)
    {
    }
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &request) override
    {
        if (isOperatorPath(request.getURI().substr(0, request.getURI().find('?')))) {
            return new OperatorHandler(m_dependencies);
        }
        return new CallerHandler(m_dependencies);
    }

private:
    const FrontEndDependencies &m_dependencies;
};

} // namespace

/// The HTTP server and its thread pool.
class FrontEnd::Private
{
public:
    explicit Private(const FrontEndDependencies &dependencies)
        : dependencies(dependencies)
        , threads("callers", MinThreads, dependencies.settings.limits.callerThreads)
    {
    }

    FrontEndDependencies dependencies;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

FrontEnd::FrontEnd(const FrontEndDependencies &dependencies)
    : m_private(std::make_unique<Private>(dependencies))
{
}

FrontEnd::~FrontEnd()
{
    stop();
}

Status FrontEnd::start()
{
    const Settings &settings = m_private->dependencies.settings;
    try {
        Poco::Net::ServerSocket socket(
            Poco::Net::SocketAddress(settings.listen.host, settings.listen.port),
            MaxQueuedConnections);
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(settings.limits.callerThreads);
        params->setMaxQueued(MaxQueuedConnections);
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(MaxRequestsPerConnection);
        params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory =
            new HandlerFactory(m_private->dependencies);
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
