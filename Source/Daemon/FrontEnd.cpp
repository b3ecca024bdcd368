#include "Daemon/FrontEnd.h"

#include <algorithm>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "Base/Logger.h"
#include "Base/PeriodicThread.h"
#include "Daemon/CallerHandler.h"
#include "Daemon/OperatorHandler.h"

namespace lycheearch {

namespace {

constexpr int MaxQueuedConnections = 1024;
/// Connections that may wait for a thread, as a multiple of the threads.
constexpr int QueuedPerThread = 8;
constexpr int MinThreads = 8;
constexpr int MaxRequestsPerConnection = 1'000'000;
constexpr Poco::Timespan::TimeDiff KeepAliveSeconds = 60;
/// A caller that neither sends nor takes a byte for so long, while it should, is disconnected.
constexpr Poco::Timespan::TimeDiff TransferTimeoutSeconds = 15;
/// What the kernel holds of a connection that is not read.
constexpr int ReceiveBufferBytes = 64 * 1024;
constexpr Duration StalledCheckPeriod = 100ms;
const Logger Log("caller");

bool isOperatorPath(const std::string &path)
{
    return path.starts_with("/v1/operator/") || path == "/livez" || path == "/readyz"
        || path == "/metrics";
}

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(const FrontEndDependencies &dependencies, CallerSockets &sockets)
        : m_dependencies(dependencies)
        , m_sockets(sockets)
    {
    }
    /// Ends the connections when their responses are complete.
    void stopConnections() { serverStopped(this, false); }
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &request) override
    {
        if (isOperatorPath(request.getURI().substr(0, request.getURI().find('?')))) {
            return new OperatorHandler(m_dependencies, m_sockets);
        }
        return new CallerHandler(m_dependencies, m_sockets);
    }

private:
    const FrontEndDependencies &m_dependencies;
    CallerSockets &m_sockets;
};

/// A connection that is known to CallerSockets while a thread serves it.
class CallerThreadConnection : public Poco::Net::HTTPServerConnection
{
public:
    CallerThreadConnection(const Poco::Net::StreamSocket &socket,
                           Poco::Net::HTTPServerParams::Ptr params,
                           Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                           CallerSockets &sockets)
        : HTTPServerConnection(socket, std::move(params), std::move(factory))
        , m_sockets(sockets)
    {
        m_sockets.add(this->socket());
    }
    ~CallerThreadConnection() override { m_sockets.remove(socket()); }

private:
    CallerSockets &m_sockets;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(Poco::Net::HTTPServerParams::Ptr params,
                      Poco::Net::HTTPRequestHandlerFactory::Ptr handlers, CallerSockets &sockets)
        : m_params(std::move(params))
        , m_handlers(std::move(handlers))
        , m_sockets(sockets)
    {
    }
    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new CallerThreadConnection(socket, m_params, m_handlers, m_sockets);
    }

private:
    Poco::Net::HTTPServerParams::Ptr m_params;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_handlers;
    CallerSockets &m_sockets;
};

} // namespace

/// The HTTP server and its thread pool.
class FrontEnd::Private
{
public:
    explicit Private(const FrontEndDependencies &dependencies)
        : dependencies(dependencies)
        , sockets(dependencies.clock)
        , threads("callers", MinThreads, dependencies.settings.limits.callerThreads)
    {
    }

    /// Closes stalled connections for those that wait for a thread.
    void makeRoom()
    {
        const int waiting = server->queuedConnections();
        sockets.setOthersWait(waiting > 0);
        if (waiting <= 0) {
            return;
        }
        const std::size_t closed =
            sockets.closeStalled(static_cast<std::size_t>(waiting), dependencies.clock.now());
        if (closed > 0) {
            dependencies.metrics.count("lycheearch_stalled_callers_closed_total", "",
                                       static_cast<double>(closed));
            Log.warning("Closed " + std::to_string(closed)
                        + " connections without a complete request, since "
                        + std::to_string(waiting) + " others wait for a thread.");
        }
    }

    FrontEndDependencies dependencies;
    CallerSockets sockets;
    Poco::ThreadPool threads;
    Poco::SharedPtr<HandlerFactory> handlers;
    std::unique_ptr<Poco::Net::TCPServer> server;
    std::unique_ptr<PeriodicThread> roomMaker;
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
        socket.setReceiveBufferSize(ReceiveBufferBytes); // Connections inherit it.
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(settings.limits.callerThreads);
        params->setMaxQueued(
            std::min(MaxQueuedConnections, QueuedPerThread * settings.limits.callerThreads));
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(MaxRequestsPerConnection);
        params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
        params->setTimeout(Poco::Timespan(TransferTimeoutSeconds, 0));
        m_private->handlers = new HandlerFactory(m_private->dependencies, m_private->sockets);
        const Poco::Net::TCPServerConnectionFactory::Ptr factory =
            new ConnectionFactory(params, m_private->handlers, m_private->sockets);
        m_private->server =
            std::make_unique<Poco::Net::TCPServer>(factory, m_private->threads, socket, params);
        m_private->server->start();
        m_private->roomMaker = std::make_unique<PeriodicThread>("room", [this] {
            m_private->makeRoom();
            return StalledCheckPeriod;
        });
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::InvalidSettings,
                           settings.listen.text() + ": " + error.displayText());
    }
    return std::nullopt;
}

void FrontEnd::stop()
{
    if (m_private->server) {
        if (m_private->roomMaker) {
            m_private->roomMaker->stop();
        }
        m_private->server->stop();
        m_private->handlers->stopConnections();
        m_private->threads.joinAll();
        m_private->server.reset();
    }
}

} // namespace lycheearch
