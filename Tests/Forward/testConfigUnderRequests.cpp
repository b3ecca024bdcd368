#include "Forward/ForwardScripts.h"
#include "Forward/LongTurn.h"

// A newer configuration, or a change of the server entries, comes into force while a request is
// under way: the request ends with a complete answer or a true refusal.

using namespace lycheearch;

namespace {

constexpr int NewVersion = 100;
constexpr Duration ChangeAfter = 60ms;

/// A daemon with two servers and two other daemons. The first request that any of them receives is
/// held.
struct ChangeHarness : ForwardHarness
{
    explicit ChangeHarness(const Route &newRoute, ScriptedBackend::Script laterScript)
        : current(newRoute)
        , later(std::move(laterScript))
    {
        publishRoute(newRoute);
        for (const std::string id : {"b0", "b1"}) {
            addBackend(holdFirst(id));
        }
        for (const std::string id : {"p0", "p1"}) {
            addPeer(holdFirst(id));
        }
    }

    ScriptedBackend::Script holdFirst(const std::string &id)
    {
        return [this, id](Connection &connection, const std::string &request) {
            if (held == nullptr) {
                held = &connection;
                heldId = id;
                onHeld(connection);
            } else {
                later(connection, request);
            }
        };
    }

    RoutingConfig config() const
    {
        RoutingConfig newConfig;
        newConfig.version = ConfigVersion(NewVersion);
        Route newRoute = current;
        newRoute.name = "r";
        newRoute.host = "h.example";
        newRoute.pathPrefix = "/a/";
        newRoute.services = {{ServiceId("s"), 1}};
        newConfig.routes = {newRoute};
        ServiceProfile service;
        service.name = ServiceId("s");
        newConfig.services[service.name] = service;
        newConfig.accounts = {{AccountId("acc"), {"k"}, std::nullopt}};
        return newConfig;
    }
    void publish(const RoutingConfig &newConfig)
    {
        view.apply({Offset(0), ConfigPublished{std::make_shared<const RoutingConfig>(newConfig)}},
                   loop.now());
        cr_assert_eq(view.table()->version().value(), NewVersion);
    }
    void remove(const std::string &id)
    {
        view.apply({Offset(0), BackendRemoved{InstanceId(id)}}, loop.now());
    }
    /// As RouterDaemon does from time to time.
    void sweep()
    {
        const TimePoint now = loop.now();
        connections.sweep(now,
                          [this](const InstanceId &id) { return view.backend(id) != nullptr; });
        picker.prune(view, now);
    }

    Route current;
    ScriptedBackend::Script later; ///< For all requests but the first.
    std::function<void(Connection &connection)> onHeld = [](Connection &) {};
    Connection *held = nullptr;
    std::string heldId;
};

struct Change
{
    const char *name;
    std::function<void(ChangeHarness &harness)> apply;
    bool keepsServers = true; ///< Some server remains for the route.
};

/// Changes a configuration or its only route, which is replaced unless there are none any more.
using ConfigEdit = std::function<void(RoutingConfig &config, Route &only)>;

void edit(ChangeHarness &harness, const ConfigEdit &change)
{
    RoutingConfig config = harness.config();
    Route only = config.routes.at(0);
    change(config, only);
    if (config.routes.size() > 0) {
        config.routes = {only};
    }
    harness.publish(config);
}

std::vector<Change> changes()
{
    const auto editing = [](ConfigEdit change) {
        return [change](ChangeHarness &harness) { edit(harness, change); };
    };
    return {
        {"nothing but the version", editing([](RoutingConfig &, Route &) {})},
        {"route removed", editing([](RoutingConfig &config, Route &only) { config.routes = {}; })},
        {"route at another host",
         editing([](RoutingConfig &config, Route &only) { only.host = "other.example"; })},
        {"route of another kind", editing([](RoutingConfig &config, Route &only) {
             only.kind = RouteKind::NonIdempotent;
             only.maxAttempts = 1;
             only.resumable = false;
         })},
        {"service of the route replaced", editing([](RoutingConfig &config, Route &only) {
             only.services = {{ServiceId("t"), 1}};
             config.services.clear();
             config.services[ServiceId("t")].name = ServiceId("t");
         })},
        {"route without services",
         editing([](RoutingConfig &config, Route &only) { only.services.clear(); })},
        {"service removed",
         editing([](RoutingConfig &config, Route &only) { config.services.clear(); })},
        {"service runs models", editing([](RoutingConfig &config, Route &only) {
             config.services[ServiceId("s")].engine = EngineProfile{1, 1000, 1, {{"m", 1}}};
             only.models = {"m"};
         })},
        {"account removed", editing([](RoutingConfig &config, Route &only) {
             config.accounts = {{AccountId("other"), {"o"}, std::nullopt}};
         })},
        {"key replaced",
         editing([](RoutingConfig &config, Route &only) { config.accounts[0].keys = {"new"}; })},
        {"shorter time limit",
         editing([](RoutingConfig &config, Route &only) { only.timeout = 10ms; })},
        {"smaller limits of callers", editing([](RoutingConfig &config, Route &only) {
             config.limits = CallerLimits{64, 1, 1ms, 1ms};
         })},
        {"entry of the server removed",
         [](ChangeHarness &harness) {
             harness.remove(harness.heldId);
             harness.sweep();
         }},
        {"entries of all servers removed",
         [](ChangeHarness &harness) {
             harness.remove("b0");
             harness.remove("b1");
             harness.sweep();
         },
         false},
        {"configuration and entries removed",
         [](ChangeHarness &harness) {
             RoutingConfig empty;
             empty.version = ConfigVersion(NewVersion);
             harness.publish(empty);
             harness.remove("b0");
             harness.remove("b1");
             harness.sweep();
         },
         false},
    };
}

/// What must come of a request.
enum class Wanted { Served, ServedIfServersRemain };

struct Phase
{
    const char *name;
    Route route;
    ScriptedBackend::Script later; ///< Of the servers that get the request a second time.
    std::function<void(Connection &connection)> onHeld; ///< The first server, at first.
    std::function<void(Connection &connection)> afterChange; ///< And after the change.
    Wanted wanted = Wanted::Served;
    bool cutOff = false; ///< The servers are not reached, so the request is relayed.
    bool ofPeer = false; ///< The request comes from another daemon.
    bool firstExecutes = true; ///< The first server does not refuse the request.
};

std::string peerFields()
{
    return "Lycheearch-Relay-Attempts: 1\r\nLycheearch-Relay-Backend: b0\r\n";
}

void rest(Connection &) { }

void endStream(Connection &connection, const std::string &)
{
    connection.send(streamHead() + serializeChunk(event(2)) + std::string(LastChunk));
}

std::vector<Phase> phases()
{
    const auto answer = [](Connection &connection) { serve(connection, ""); };
    const auto close = [](Connection &connection) { connection.close(); };
    const auto refuseIt = [](Connection &connection) { refuse(connection, ""); };
    const auto beginStream = [](Connection &connection) {
        connection.send(streamHead() + serializeChunk(event(1)));
    };
    const auto goOn = [](Connection &connection) {
        connection.send(serializeChunk(event(2)) + std::string(LastChunk));
    };
    const auto serveAsPeer = [](Connection &connection, const std::string &) {
        connection.send(
            ForwardHarness::response(200, "Response-Seal: seal\r\n" + peerFields(), "hello"));
    };
    const auto answerAsPeer = [serveAsPeer](Connection &connection) {
        serveAsPeer(connection, "");
    };
    const Route once = route(RouteKind::NonIdempotent);
    Route repeatable = route(RouteKind::Idempotent, 3);
    repeatable.latencyObjective = 300ms;
    Route stream = route(RouteKind::EventStream, 3);
    stream.latencyObjective = 300ms;
    const Wanted ifServers = Wanted::ServedIfServersRemain;
    return {
        {"waiting", once, fail, rest, answer},
        {"streaming", stream, fail, beginStream, goOn},
        {"retrying after a lost connection", repeatable, serve, rest, close, ifServers},
        {"retrying after a refusal", once, serve, rest, refuseIt, ifServers, false, false, false},
        {"resuming a stream", stream, endStream, beginStream, close, ifServers},
        {"relayed", once, fail, rest, answerAsPeer, Wanted::Served, true},
        {"relayed again after a lost connection", repeatable, serveAsPeer, rest, close,
         Wanted::Served, true},
        {"of another daemon", once, fail, rest, answer, Wanted::Served, false, true},
        {"of another daemon, retrying", repeatable, serve, rest, close, ifServers, false, true},
    };
}

/// Whether the bytes are one complete response.
bool complete(const std::string &response)
{
    const std::size_t head = response.find("\r\n\r\n");
    if (head == std::string::npos) {
        return false;
    }
    const std::string body = response.substr(head + 4);
    if (contains(response.substr(0, head), "chunked")) {
        return body.ends_with(LastChunk);
    }
    const std::size_t length = response.find("Content-Length: ");
    return length < head && std::stoul(response.substr(length + 16)) == body.size();
}

bool saysNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void expectEnd(const Phase &phase, const Change &change, const std::string &response,
               std::size_t executions)
{
    const bool mustServe = phase.wanted == Wanted::Served
        || (phase.wanted == Wanted::ServedIfServersRemain && change.keepsServers);
    const int status = statusOf(response);
    if (mustServe) {
        cr_expect_eq(status, 200, "%s, %s: %d", phase.name, change.name, status);
    }
    // A stream that has begun and can't be resumed anywhere is cut off.
    const bool hasBegun = phase.route.kind == RouteKind::EventStream;
    cr_expect(complete(response) || (hasBegun && !mustServe), "%s, %s: %s", phase.name, change.name,
              response.c_str());
    cr_expect(!saysNotRun(status) || executions == 0, "%s, %s: %d", phase.name, change.name,
              status);
}

void play(const Phase &phase, const Change &change)
{
    ChangeHarness harness(phase.route, phase.later);
    harness.onHeld = phase.onHeld;
    for (const auto &backend : harness.backends) {
        if (phase.cutOff) {
            backend->stopListening();
        }
    }
    std::string fields;
    if (phase.ofPeer) {
        harness.origin = RequestOrigin::Daemon;
        fields = "Lycheearch-Relay-Attempts: 0\r\nLycheearch-Relay-Tried: \r\n"
                 "Lycheearch-Relay-Config: 1\r\n";
    }
    const std::string response = harness.call(
        ForwardHarness::request("POST", fields, "b"), 2s,
        [&] {
            cr_assert_not_null(harness.held, "%s", phase.name);
            change.apply(harness);
            phase.afterChange(*harness.held);
        },
        ChangeAfter);
    std::size_t sent = harness.received();
    for (const auto &peer : harness.peerDaemons) {
        sent += peer->requests.size();
    }
    cr_assert_gt(sent, 0);
    expectEnd(phase, change, response, sent - (phase.firstExecutes ? 0 : 1));
}

void playAll(std::size_t phase)
{
    for (const Change &change : changes()) {
        play(phases()[phase], change);
    }
}

} // namespace

Test(configUnderRequests, a_request_that_waits_for_its_server_is_answered, .timeout = 60)
{
    playAll(0);
}

Test(configUnderRequests, a_stream_that_has_begun_is_completed, .timeout = 60)
{
    playAll(1);
}

Test(configUnderRequests, a_retry_after_a_lost_connection_ends_with_an_answer, .timeout = 60)
{
    playAll(2);
}

Test(configUnderRequests, a_retry_after_a_refusal_ends_with_an_answer, .timeout = 60)
{
    playAll(3);
}

Test(configUnderRequests, a_stream_is_resumed_while_servers_remain, .timeout = 60)
{
    playAll(4);
}

Test(configUnderRequests, a_relayed_request_is_answered, .timeout = 60)
{
    playAll(5);
}

Test(configUnderRequests, a_request_is_relayed_again_after_a_lost_connection, .timeout = 60)
{
    playAll(6);
}

Test(configUnderRequests, a_request_of_another_daemon_is_answered, .timeout = 60)
{
    playAll(7);
}

Test(configUnderRequests, a_retry_of_a_request_of_another_daemon_ends_with_an_answer, .timeout = 60)
{
    playAll(8);
}

Test(configUnderRequests, a_request_that_is_being_read_is_answered_or_refused, .timeout = 60)
{
    for (const Change &change : changes()) {
        ChangeHarness harness(route(RouteKind::NonIdempotent), serve);
        harness.onHeld = [](Connection &connection) { serve(connection, ""); };
        harness.heldId = "b0";
        const std::string request = ForwardHarness::request("POST", "", "body");
        const std::string response = harness.call(
            request.substr(0, request.size() - 2), 2s,
            [&] {
                change.apply(harness);
                harness.currentCaller->socket.send(request.substr(request.size() - 2));
            },
            ChangeAfter);
        cr_expect(complete(response), "%s: %s", change.name, response.c_str());
        cr_expect(statusOf(response) == 200 || harness.received() == 0, "%s: %s", change.name,
                  response.c_str());
    }
}

Test(configUnderRequests, a_request_whose_connection_is_being_made_is_answered, .timeout = 60)
{
    for (const Change &change : changes()) {
        ChangeHarness harness(route(RouteKind::NonIdempotent), serve);
        harness.onHeld = [](Connection &connection) { serve(connection, ""); };
        harness.startServer();
        const KernelCaller caller(harness.firstPort);
        harness.runLoop(50ms);
        // The handler of the caller connects to the server, and the turn with the change follows.
        LongTurn turn(harness.loop, 20ms, [&] {
            cr_assert_eq(harness.connections.openedConnections(), 1, "%s", change.name);
            cr_assert_eq(harness.received(), 0, "%s", change.name);
            harness.heldId = "b0";
            change.apply(harness);
        });
        caller.send(keptRequest());
        turn.begin();
        harness.runLoop();
        const std::string response = caller.receive();
        cr_expect(complete(response), "%s: %s", change.name, response.c_str());
        cr_expect_eq(statusOf(response), 200, "%s", change.name);
    }
}
