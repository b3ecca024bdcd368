#pragma once

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

#include "ClientLimitCounter.h"
#include "Forward/CallerServer.h"
#include "Net/Socket.h"
#include "platform/PlatformHeaderCodec.h"
#include "platform/PlatformRecordCodec.h"

namespace lycheearch {

/// A backend server on the test's event loop. Each test scripts its responses.
class ScriptedBackend : private IoHandler
{
public:
    /// One accepted connection.
    class Connection : public StreamSocketListener
    {
    public:
        Connection(ScriptedBackend &owner, int fd)
            : m_owner(owner)
            , socket(owner.m_loop, fd, StreamSocket::Start::Connected, *this)
        {
        }

        void onBytes(std::string_view bytes, TimePoint) override
        {
            input.append(bytes);
            const std::size_t head = input.find("\r\n\r\n");
            if (head == std::string::npos) {
                return;
            }
            if (m_owner.onHead) {
                m_owner.onHead(*this, input.substr(0, head + 4));
                return;
            }
            const std::size_t length = bodyLength(input.substr(0, head));
            if (input.size() < head + 4 + length) {
                return;
            }
            const std::string request = input.substr(0, head + 4 + length);
            input.erase(0, request.size());
            m_owner.requests.push_back(request);
            m_owner.onRequest(*this, request);
        }
        void onEnd(TimePoint) override
        {
            ++m_owner.closed;
            socket.close();
        }
        void onError(std::error_code, TimePoint) override { ++m_owner.closed; }

        void send(const std::string &bytes) { socket.send(bytes); }
        void close() { socket.close(); }

    private:
        static std::size_t bodyLength(const std::string &head)
        {
            const std::size_t at = head.find("Content-Length: ");
            return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
        }

        ScriptedBackend &m_owner;

    public:
        StreamSocket socket;
        std::string input;
    };

    using Script = std::function<void(Connection &connection, const std::string &request)>;

    ScriptedBackend(EventLoop &loop, std::string id, std::uint16_t port, Script script)
        : m_loop(loop)
        , id(std::move(id))
        , address{"127.0.0.1", port}
        , onRequest(std::move(script))
    {
        listenAgain();
    }
    ~ScriptedBackend() override { stopListening(); }

    /// Refuses new connections. Open ones are not affected.
    void stopListening()
    {
        if (m_listener >= 0) {
            m_loop.unwatch(m_listener);
            ::close(m_listener);
            m_listener = -1;
        }
    }
    void listenAgain()
    {
        std::error_code error;
        m_listener = listenTcp(address, error);
        cr_assert_not(error, "%s", error.message().c_str());
        m_loop.watch(m_listener, EPOLLIN, *this);
    }

    void onReady(std::uint32_t, TimePoint) override
    {
        std::error_code error;
        const int fd = acceptTcp(m_listener, error);
        if (fd >= 0) {
            connections.push_back(std::make_unique<Connection>(*this, fd));
        }
    }

private:
    EventLoop &m_loop;
    int m_listener = -1;

public:
    std::string id;
    Endpoint address;
    Script onRequest;
    Script onHead; ///< If set, replaces onRequest, and is called before the body is read.
    std::vector<std::string> requests;
    std::vector<std::unique_ptr<Connection>> connections;
    int closed = 0;
};

/// The data path from a caller's socket to scripted backend servers, on one event loop.
class ForwardHarness
{
public:
    /// How a caller's connection ended.
    enum class ConnectionEnd { Open, Closed, Reset };

    /// Tests run in parallel, each in its own process, so each uses its own port range.
    const std::uint16_t firstPort = static_cast<std::uint16_t>(10'000 + getpid() % 500 * 16);

    ForwardHarness()
        : loop(clock)
        , picker(InstanceId("self"), DataCentreId("here"))
        , connections(loop, {400ms, {64 * 1024, 16 * 1024 * 1024}, {1s, 1s, 2, 2500ms}})
        , retries({0.9, 10s, 10})
        , log("test", STDERR_FILENO, 0, clock)
        , peerConnections(loop, {400ms, {64 * 1024, 16 * 1024 * 1024}, {1s, 1s, 2, 2500ms}})
        , peers(InstanceId("self"), DataCentreId("here"))
        , context{loop,           view,    picker,  connections,    headerCodec, retries,
                  rollouts,       models,  crashes, pendingCrashes, peers,       peerConnections,
                  relayAdmission, returns, stop,    bounds,         requests,    responseBudget,
                  readers,        log,     metrics, hedging,        limitCounter}
    {
    }

    /// Publishes a route from /a/ to service "s" and the API key "k" of account "acc".
    void publishRoute(Route route)
    {
        route.name = "r";
        route.host = "h.example";
        route.pathPrefix = "/a/";
        route.services = {{ServiceId("s"), 1}};
        RoutingConfig config;
        config.version = ConfigVersion(++m_version);
        config.routes = {route};
        ServiceProfile service;
        service.name = ServiceId("s");
        config.services[service.name] = service;
        config.accounts = {{AccountId("acc"), {"k"}, std::nullopt}};
        config.limits = limits;
        view.apply({Offset(0), ConfigPublished{std::make_shared<const RoutingConfig>(config)}},
                   loop.now());
    }

    ScriptedBackend &addBackend(ScriptedBackend::Script script)
    {
        const auto number = static_cast<std::uint16_t>(backends.size());
        backends.push_back(std::make_unique<ScriptedBackend>(
            loop, "b" + std::to_string(number), static_cast<std::uint16_t>(firstPort + 1 + number),
            std::move(script)));
        reportBackend(backends.back()->id, backends.back()->address);
        return *backends.back();
    }

    /// Adds a daemon that requests can be passed to.
    ScriptedBackend &addPeer(ScriptedBackend::Script script)
    {
        const auto number = static_cast<std::uint16_t>(peerDaemons.size());
        peerDaemons.push_back(std::make_unique<ScriptedBackend>(
            loop, "p" + std::to_string(number), static_cast<std::uint16_t>(firstPort + 9 + number),
            std::move(script)));
        std::vector<MemberRegistered> members;
        for (const auto &peer : peerDaemons) {
            members.push_back({InstanceId(peer->id), DataCentreId("here"), {}, 0, peer->address});
        }
        peers.setMembers(std::move(members));
        return *peerDaemons.back();
    }

    void reportBackend(const std::string &id, const Endpoint &address)
    {
        BackendEntry report;
        report.id = InstanceId(id);
        report.service = ServiceId("s");
        report.address = address;
        report.dataCentre = DataCentreId("here");
        report.version = VersionId("v1");
        report.slots = 4;
        view.apply({Offset(0), BackendReported{report}}, loop.now());
    }

    /// Listens for callers.
    void startServer()
    {
        std::error_code error;
        if (!server) {
            server = std::make_unique<CallerServer>(
                context, origin, Endpoint{"127.0.0.1", firstPort}, maxConnections, error);
            cr_assert_not(error, "%s", error.message().c_str());
        }
    }

    /// Sends \p bytes as a caller and returns what was received until the connection closed or
    /// \p time elapsed. Calls \p meanwhile once \p after has elapsed.
    std::string call(const std::string &bytes, Duration time = 3s,
                     const std::function<void()> &meanwhile = {}, Duration after = 100ms)
    {
        startServer();
        callerEnd = ConnectionEnd::Open;
        Caller caller(*this);
        caller.socket.send(bytes);
        currentCaller = &caller;
        TimerId timer = loop.at(loop.now() + time, [this](TimePoint) { loop.stop(); });
        TimerId meanwhileTimer;
        if (meanwhile) {
            meanwhileTimer = loop.at(loop.now() + after, [&](TimePoint) { meanwhile(); });
        }
        loop.run();
        loop.resume();
        loop.cancel(timer);
        loop.cancel(meanwhileTimer);
        currentCaller = nullptr;
        return caller.received;
    }

    /// Number of requests that the backend servers have received.
    std::size_t received() const
    {
        std::size_t total = 0;
        for (const auto &backend : backends) {
            total += backend->requests.size();
        }
        return total;
    }

    /// Status of a response; 0 if there is none.
    static int statusOf(const std::string &response)
    {
        constexpr std::size_t statusAt = 9;
        constexpr std::size_t statusLength = 3;
        return response.size() < statusAt + statusLength
            ? 0
            : std::stoi(response.substr(statusAt, statusLength));
    }

    /// Runs the loop for \p time, so that work after a call completes.
    void runLoop(Duration time = 100ms)
    {
        loop.at(loop.now() + time, [this](TimePoint) { loop.stop(); });
        loop.run();
        loop.resume();
    }

    void disconnectCaller() { currentCaller->socket.close(); }

    static std::string request(const std::string &method, const std::string &extraFields = "",
                               const std::string &body = "")
    {
        return method
            + " /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\nApi-Key: k\r\n"
              "Time-Budget-Ms: 2000\r\nConnection: close\r\n"
            + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string response(int status, const std::string &fields, const std::string &body,
                                const std::string &id = "q1")
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " + id + "\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string sealedResponse(int status, const std::string &body)
    {
        return response(status, "Response-Seal: seal\r\n", body);
    }

    struct Caller : StreamSocketListener
    {
        explicit Caller(ForwardHarness &harness)
            : m_harness(harness)
            , socket(harness.loop, connect(harness.firstPort), StreamSocket::Start::Connecting,
                     *this)
        {
        }
        static int connect(std::uint16_t port)
        {
            std::error_code error;
            return connectTcp({"127.0.0.1", port}, error);
        }
        void onBytes(std::string_view bytes, TimePoint) override { received.append(bytes); }
        void onEnd(TimePoint) override
        {
            m_harness.callerEnd = ConnectionEnd::Closed;
            m_harness.loop.stop();
        }
        void onError(std::error_code, TimePoint) override
        {
            m_harness.callerEnd = ConnectionEnd::Reset;
            m_harness.loop.stop();
        }

        ForwardHarness &m_harness;
        StreamSocket socket;
        std::string received;
    };

    SystemClock clock;
    EventLoop loop;
    FleetView view;
    BackendPicker picker;
    BackendHttpConnectionPool connections;
    platform::PlatformHeaderCodec headerCodec;
    WindowedRetryBudget retries;
    RolloutCounts rollouts;
    ModelCascade models;
    CrashTable crashes;
    PendingCrashes pendingCrashes{crashes, picker.reach()};
    BackendHttpConnectionPool peerConnections;
    PeerSelector peers;
    RelayAdmission relayAdmission;
    ReturnSchedule returns;
    ShutdownPolicy stop;
    RouterBounds bounds;
    BodyBudget headBudget{1024UL * 1024};
    BodyBudget bodyBudget{1024UL * 1024};
    CallerRequests requests{headBudget, bodyBudget};
    BodyBudget responseBudget{256UL * 1024};
    CallerReaders readers{loop, responseBudget};
    StructuredLog log;
    Metrics metrics;
    Hedging hedging{InstanceId("self"), retries};
    ClientLimitCounter limitCounter;
    std::size_t maxConnections = 1000;
    ForwardContext context;
    CallerLimits limits;
    RequestOrigin origin = RequestOrigin::Caller; ///< Of the requests that call() sends.
    std::vector<std::unique_ptr<ScriptedBackend>> backends;
    std::vector<std::unique_ptr<ScriptedBackend>> peerDaemons;
    std::unique_ptr<CallerServer> server;
    Caller *currentCaller = nullptr;
    ConnectionEnd callerEnd = ConnectionEnd::Open; ///< Of the last call.

private:
    int m_version = 0;
};

} // namespace lycheearch
