#include "Forward/ForwardHarness.h"

#include <sys/socket.h>

// Callers that read slowly or not at all, beside calm ones.

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

constexpr std::size_t EventBytes = 4096;
constexpr int Events = 256; ///< More than the kernels buffer between caller and server.

Route route(RouteKind kind, bool resumable = false)
{
    Route newRoute;
    newRoute.kind = kind;
    newRoute.timeout = 60s;
    newRoute.latencyObjective = 200ms;
    newRoute.gapObjective = 100ms;
    newRoute.maxAttempts = 3;
    newRoute.resumable = resumable;
    return newRoute;
}

std::string event(int id)
{
    std::string text = "id: " + std::to_string(id) + "\ndata: ";
    return text + std::string(EventBytes - text.size() - 2, 'x') + "\n\n";
}

std::string eventsFrom(int first, int last = Events)
{
    std::string all;
    for (int id = first; id <= last; ++id) {
        all += event(id);
    }
    return all;
}

std::string chunked(const std::string &body)
{
    std::string framed = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n"
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += EventBytes) {
        framed += serializeChunk(std::string_view(body).substr(at, EventBytes));
    }
    return framed;
}

SharedBody wholeStream()
{
    static const auto stream =
        std::make_shared<const std::string>(chunked(eventsFrom(1)) + std::string(LastChunk));
    return stream;
}

/// A caller that reads nothing at first.
struct Reader : StreamSocketListener, HttpResponseSink
{
    Reader(ForwardHarness &harness, const std::string &request)
        : socket(harness.loop, connect(harness.firstPort), StreamSocket::Start::Connecting, *this)
        , parser({64UL * 1024, 64UL * 1024 * 1024}, false, *this)
    {
        socket.holdReading(true);
        socket.send(request);
    }
    static int connect(std::uint16_t port)
    {
        std::error_code error;
        const int fd = connectTcp({"127.0.0.1", port}, error);
        const int bytes = 64 * 1024;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        return fd;
    }
    void read() { socket.holdReading(false); }
    void onBytes(std::string_view bytes, TimePoint) override
    {
        input.append(bytes);
        parser.feed(input);
    }
    void onEnd(TimePoint) override { ended = true; }
    void onError(std::error_code, TimePoint) override { reset = true; }
    void onResponseHead(HttpResponseHead) override { }
    void onResponseBody(std::string_view bytes) override { body.append(bytes); }

    StreamSocket socket;
    HttpResponseParser parser;
    std::string input;
    std::string body;
    bool ended = false;
    bool reset = false;
};

void listen(ForwardHarness &harness)
{
    std::error_code error;
    harness.server = std::make_unique<CallerServer>(harness.context, RequestOrigin::Caller,
                                                    Endpoint{"127.0.0.1", harness.firstPort},
                                                    harness.maxConnections, error);
    cr_assert_not(error, "%s", error.message().c_str());
}

const std::string Request = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                            "Api-Key: k\r\nTime-Budget-Ms: 60000\r\nContent-Length: 0\r\n\r\n";

/// Runs the loop until \p done, at most for \p limit.
void runUntil(ForwardHarness &harness, const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = harness.loop.now() + limit;
    while (!done() && harness.loop.now() < end) {
        harness.runLoop(20ms);
    }
}

bool paused(const ForwardHarness &harness, std::size_t count = 1)
{
    return harness.readers.backpressure().resting() == count;
}

} // namespace

Test(slowReaders, one_that_reads_nothing_delays_no_other_and_later_gets_the_whole_stream,
     .timeout = 60)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    ScriptedBackend &backend = harness.addBackend(
        [](Connection &connection, const std::string &) { connection.socket.send(wholeStream()); });
    listen(harness);
    Reader slow(harness, Request);
    runUntil(
        harness, [&] { return paused(harness); }, 3s);
    cr_assert(paused(harness));
    cr_expect_leq(harness.readers.backpressure().unreadBytes(), 128UL * 1024);
    backend.onRequest = [](Connection &connection, const std::string &) {
        connection.send(chunked(event(1)) + std::string(LastChunk));
    };
    for (int i = 0; i < 20; ++i) {
        const TimePoint before = harness.loop.now();
        cr_expect_eq(ForwardHarness::statusOf(harness.call(ForwardHarness::request("POST"))), 200);
        cr_expect_lt(harness.loop.now() - before, Duration(1s));
    }
    cr_expect(paused(harness));
    slow.read();
    runUntil(
        harness, [&] { return slow.parser.complete(); }, 20s);
    cr_expect(slow.parser.complete());
    cr_expect(slow.body == eventsFrom(1));
    cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
    cr_expect_eq(backend.requests.size(), 21);
}

Test(slowReaders, three_hundred_share_the_memory_and_all_get_their_stream, .timeout = 120)
{
    constexpr std::size_t count = 300;
    ForwardHarness harness;
    harness.responseBudget = BodyBudget(22UL * 1024 * 1024); // Of a daemon with 88 MB.
    harness.publishRoute(route(RouteKind::EventStream));
    harness.addBackend(
        [](Connection &connection, const std::string &) { connection.socket.send(wholeStream()); });
    listen(harness);
    std::vector<std::unique_ptr<Reader>> readers;
    for (std::size_t i = 0; i < count; ++i) {
        readers.push_back(std::make_unique<Reader>(harness, Request));
        harness.runLoop(1ms);
    }
    std::size_t most = 0;
    runUntil(
        harness,
        [&] {
            most = std::max(most, harness.responseBudget.reservedBytes());
            return paused(harness, count);
        },
        3s);
    cr_expect_gt(harness.readers.backpressure().resting(), count / 2);
    cr_expect_leq(most, 11UL * 1024 * 1024 + count * 33 * 1024 / 2);
    for (const auto &reader : readers) {
        reader->read();
    }
    const auto complete = [&] {
        return std::all_of(readers.begin(), readers.end(),
                           [](const auto &reader) { return reader->parser.complete(); });
    };
    runUntil(harness, complete, 60s);
    const std::string expected = eventsFrom(1);
    for (const auto &reader : readers) {
        cr_expect(reader->body == expected);
    }
    cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
}

Test(slowReaders, a_server_that_cuts_off_an_unread_response_is_not_blamed_and_the_caller_sees_it,
     .timeout = 60)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    harness.view.apply({Offset(0), RolloutOrdered{ServiceId("s"), VersionId("v2"), 24s}},
                       harness.loop.now());
    harness.rollouts.followOrders(harness.view, harness.loop.now());
    ScriptedBackend &backend = harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(chunked(eventsFrom(1)));
    });
    listen(harness);
    Reader slow(harness, Request);
    runUntil(
        harness, [&] { return paused(harness); }, 3s);
    cr_assert(paused(harness));
    backend.connections.front()->socket.abort();
    runUntil(
        harness, [&] { return harness.readers.backpressure().readers() == 0; }, 2s);
    cr_expect_eq(harness.metrics.value("lycheearch_unread_responses_cut_off_total"), 1);
    slow.read();
    runUntil(
        harness, [&] { return slow.reset || slow.ended; }, 3s);
    cr_expect(slow.reset && !slow.ended && !slow.parser.complete());
    // The only server is neither excluded nor is its version blamed.
    backend.onRequest = [](Connection &connection, const std::string &) {
        connection.send(chunked(event(1)) + std::string(LastChunk));
    };
    cr_expect_eq(ForwardHarness::statusOf(harness.call(ForwardHarness::request("POST"))), 200);
    const VersionCounts counts =
        harness.rollouts.evidence(InstanceId("self"), harness.view, harness.loop.now())
            .front()
            .otherCounts;
    cr_expect_eq(counts.sent, 2);
    cr_expect_eq(counts.bad, 0);
    cr_expect_eq(counts.good, 1);
}

Test(slowReaders, another_run_goes_on_with_a_cut_off_stream_once_its_caller_reads, .timeout = 60)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream, true));
    ScriptedBackend &backend = harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(chunked(eventsFrom(1)));
    });
    listen(harness);
    Reader slow(harness, Request);
    runUntil(
        harness, [&] { return paused(harness); }, 3s);
    cr_assert(paused(harness));
    int resumedAfter = 0;
    backend.onRequest = [&](Connection &connection, const std::string &request) {
        const std::string field = "Last-Event-Id: ";
        resumedAfter = std::stoi(request.substr(request.find(field) + field.size()));
        connection.send(chunked(eventsFrom(resumedAfter + 1)) + std::string(LastChunk));
    };
    backend.connections.front()->socket.abort();
    harness.runLoop(300ms);
    cr_expect_eq(backend.requests.size(), 1);
    slow.read();
    runUntil(
        harness, [&] { return slow.parser.complete(); }, 20s);
    cr_expect_gt(resumedAfter, 0);
    cr_expect(slow.parser.complete());
    cr_expect(slow.body == eventsFrom(1));
}

Test(slowReaders, one_that_never_reads_is_ended_and_can_not_take_its_response_for_whole,
     .timeout = 60)
{
    for (const char *version : {"1.1", "1.0"}) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::EventStream));
        ScriptedBackend &backend =
            harness.addBackend([](Connection &connection, const std::string &) {
                connection.socket.send(wholeStream());
            });
        listen(harness);
        std::string request = Request;
        request.replace(request.find("1.1"), 3, version);
        Reader slow(harness, request);
        runUntil(
            harness, [&] { return paused(harness); }, 3s);
        cr_assert(paused(harness));
        runUntil(
            harness, [&] { return harness.server->connections() == 0; }, 8s);
        cr_expect_eq(harness.server->connections(), 0);
        cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
        harness.runLoop();
        cr_expect_eq(backend.closed, 1);
        slow.read();
        runUntil(
            harness, [&] { return slow.reset || slow.ended; }, 2s);
        cr_expect(slow.reset && !slow.ended);
        const std::string name = "lycheearch_callers_not_reading_total";
        cr_expect_eq(harness.metrics.value(name, "why=\"no byte taken\"")
                         + harness.metrics.value(name, "why=\"connection ended\""),
                     1);
    }
}

Test(slowReaders, a_whole_response_waits_for_a_caller_that_reads_late, .timeout = 60)
{
    ForwardHarness harness;
    harness.responseBudget = BodyBudget(2UL * 1024 * 1024);
    harness.publishRoute(route(RouteKind::Idempotent));
    const std::string body(1024UL * 1024, 'p');
    harness.addBackend([&](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, body));
    });
    listen(harness);
    Reader slow(harness, ForwardHarness::request("POST")); // Connection: close
    harness.runLoop(2500ms);
    cr_expect_gt(harness.readers.backpressure().unreadBytes(), 0);
    slow.read();
    runUntil(
        harness, [&] { return slow.parser.complete() || slow.reset; }, 20s);
    cr_expect(slow.parser.complete());
    cr_expect(slow.body == body);
    cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
}

Test(slowReaders, an_upload_to_a_server_that_does_not_read_is_held_once, .timeout = 60)
{
    ForwardHarness harness;
    harness.bodyBudget = BodyBudget(16UL * 1024 * 1024);
    harness.limits.bodyBytes = 16UL * 1024 * 1024;
    harness.publishRoute(route(RouteKind::NonIdempotent));
    ScriptedBackend &backend = harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, "done"));
    });
    const std::string body(8UL * 1024 * 1024, 'u');
    std::function<void(TimePoint)> holdServer = [&](TimePoint now) {
        if (backend.connections.empty()) {
            harness.loop.at(now + 1ms, holdServer);
        } else {
            backend.connections.front()->socket.holdReading(true);
        }
    };
    holdServer(harness.loop.now());
    const auto meanwhile = [&] {
        cr_expect_eq(harness.bodyBudget.reservedBytes(), body.size());
        cr_expect(backend.requests.empty());
        backend.connections.front()->socket.holdReading(false);
    };
    const std::string response =
        harness.call(ForwardHarness::request("POST", "", body), 5s, meanwhile, 1s);
    cr_expect_eq(ForwardHarness::statusOf(response), 200);
    harness.runLoop();
    cr_expect_eq(harness.bodyBudget.reservedBytes(), 0);
    cr_expect_eq(backend.requests.size(), 1);
}

Test(slowReaders, a_request_behind_an_unread_response_waits_and_is_then_served, .timeout = 60)
{
    ForwardHarness harness;
    harness.responseBudget = BodyBudget(2UL * 1024 * 1024);
    harness.publishRoute(route(RouteKind::Idempotent));
    const std::string body(1024UL * 1024, 'p');
    ScriptedBackend &backend = harness.addBackend([&](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, body));
    });
    listen(harness);
    Reader slow(harness, Request + Request);
    harness.runLoop(500ms);
    cr_expect_eq(backend.requests.size(), 1);
    slow.read();
    runUntil(
        harness, [&] { return backend.requests.size() == 2; }, 10s);
    cr_expect_eq(backend.requests.size(), 2);
    harness.runLoop(500ms);
    // The parser stops after the first response and leaves the second one.
    cr_expect(slow.body == body);
    cr_expect(slow.input.ends_with(body.substr(0, 1024)));
    cr_expect_eq(harness.responseBudget.reservedBytes(), 0);
}
