#include "Forward/ForwardHarness.h"

// A stream that has begun ends in one of three ways: complete, joined by a run that goes on where
// it broke off, or cut so that the caller sees it. Nothing else reaches the caller.

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

constexpr int Servers = 3;

Route route()
{
    Route newRoute;
    newRoute.kind = RouteKind::EventStream;
    newRoute.timeout = 500ms;
    newRoute.latencyObjective = 100ms;
    newRoute.gapObjective = 100ms;
    newRoute.maxAttempts = Servers;
    newRoute.resumable = true;
    return newRoute;
}

std::string streamHead(const std::string &framing, const std::string &type = "text/event-stream")
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\nContent-Type: " + type
        + "\r\n" + framing + "\r\n";
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string Unframed = "Connection: close\r\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string chunkedStream(const std::string &body)
{
    return streamHead(Chunked) + serializeChunk(body) + std::string(LastChunk);
}

/// What a server sends; then it closes the connection or says no more.
struct Script
{
    const char *name;
    std::string bytes;
    bool closes = true;
};

/// The first server breaks off after two events, in several ways.
std::vector<Script> breaks()
{
    return {
        {"chunked", streamHead(Chunked) + serializeChunk(event(1) + event(2))},
        {"chunked, inside an event",
         streamHead(Chunked) + serializeChunk(event(1) + event(2) + "id: 3\nda")},
        {"unframed, inside an event", streamHead(Unframed) + event(1) + event(2) + "id: 3\nda"},
        {"an error's head in the unframed body",
         streamHead(Unframed) + event(1) + event(2)
             + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"},
        {"an event for the second time",
         streamHead(Chunked) + serializeChunk(event(1) + event(2) + event(2)), false},
        {"text between the events",
         streamHead(Chunked) + serializeChunk(event(1) + event(2) + "data: failed\n\n"), false},
    };
}

/// What the other servers answer instead of going on.
std::vector<Script> otherAnswers()
{
    using H = ForwardHarness;
    return {
        {"error", H::sealedResponse(500, "failed"), false},
        {"error that looks like an event", H::sealedResponse(500, "id: 3\ndata: failed\n\n"),
         false},
        {"error without seal", H::response(502, "", "failed"), false},
        {"not found", H::sealedResponse(404, "failed"), false},
        {"declined", H::response(503, "Not-Executed: 1\r\n", "failed"), false},
        {"no seal", H::response(200, "", "id: 3\ndata: failed\n\n"), false},
        {"no content", "HTTP/1.1 204 X\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n\r\n", false},
        {"another type that looks like an event",
         streamHead(Chunked, "text/plain") + serializeChunk("id: 3\ndata: failed\n\n")
             + std::string(LastChunk),
         false},
        {"another type", streamHead("Content-Length: 8\r\n", "application/json") + "{\"a\": 1}",
         false},
        {"events without ids", chunkedStream("data: failed\n\n"), false},
        {"a run from the start", chunkedStream(event(1) + event(2) + event(3)), false},
        {"unframed without events", streamHead(Unframed)},
        {"unframed, half an event", streamHead(Unframed) + "id: 3\nfailed"},
        {"encoded",
         streamHead(Chunked + "Content-Encoding: gzip\r\n")
             + serializeChunk("id: 3\ndata: failed\n\n") + std::string(LastChunk),
         false},
        {"no HTTP", "failed\r\n\r\n"},
        {"interim and closed", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"closed at once", ""},
    };
}

void play(Connection &connection, const Script &script)
{
    connection.send(script.bytes);
    if (script.closes) {
        connection.socket.shutdownSending();
    }
}

/// The response of a fleet whose server of the first attempt plays \p first, and the others \p
/// others.
std::string responseOf(const Script &first, const Script &others)
{
    ForwardHarness harness;
    harness.publishRoute(route());
    bool begun = false;
    for (int i = 0; i < Servers; ++i) {
        harness.addBackend([&](Connection &connection, const std::string &) {
            play(connection, std::exchange(begun, true) ? others : first);
        });
    }
    return harness.call(ForwardHarness::request("POST", "", "b"));
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an error, or any other answer, in the middle or at the end of a caller's stream.
Test(resumedStream, nothing_but_the_stream_reaches_the_caller_and_it_does_not_look_complete,
     .timeout = 180)
{
    for (const Script &first : breaks()) {
        for (const Script &others : otherAnswers()) {
            const std::string response = responseOf(first, others);
            cr_expect(contains(response, event(1)) && contains(response, event(2)), "%s; %s",
                      first.name, others.name);
            cr_expect_not(contains(response, "failed"), "%s; %s: %s", first.name, others.name,
                          response.c_str());
            cr_expect_not(contains(response, "d3"), "%s; %s", first.name, others.name);
            cr_expect_eq(response.find("HTTP/1.1"), response.rfind("HTTP/1.1"), "%s; %s",
                         first.name, others.name);
            cr_expect_eq(response.find("data: d2"), response.rfind("data: d2"), "%s; %s",
                         first.name, others.name);
            cr_expect_not(response.ends_with("0\r\n\r\n"), "%s; %s looks complete", first.name,
                          others.name);
        }
    }
}

// Guards against text of a broken answer that stays in the stream when another server goes on.
Test(resumedStream, a_run_that_goes_on_where_the_stream_broke_off_completes_it, .timeout = 60)
{
    const std::vector<Script> continuations = {
        {"chunked", chunkedStream(event(3)), false},
        {"unframed", streamHead(Unframed) + event(3)},
        {"a comment first", chunkedStream(": alive\n\n" + event(3)), false},
        {"type with a parameter",
         streamHead(Chunked, "Text/Event-Stream; charset=utf-8") + serializeChunk(event(3))
             + std::string(LastChunk),
         false},
    };
    for (const Script &first : breaks()) {
        for (const Script &others : continuations) {
            const std::string response = responseOf(first, others);
            cr_expect(contains(response, event(3)), "%s; %s", first.name, others.name);
            cr_expect(response.ends_with("0\r\n\r\n"), "%s; %s", first.name, others.name);
            cr_expect_not(contains(response, "failed"), "%s; %s", first.name, others.name);
        }
    }
}

// The run broke off after its last event, and the next server says that nothing follows.
Test(resumedStream, a_continuation_without_events_completes_the_stream_if_its_end_is_marked,
     .timeout = 20)
{
    const std::string response =
        responseOf(breaks()[0], {"", streamHead(Chunked) + std::string(LastChunk), false});
    cr_expect(response.ends_with("0\r\n\r\n"));
}

// Guards against pieces that come twice: without ids nothing tells where to go on.
Test(resumedStream, a_stream_whose_events_have_no_ids_is_not_resumed, .timeout = 20)
{
    const Script first{"", streamHead(Chunked) + serializeChunk("data: x\n\ndata: y\n\n")};
    const std::string response = responseOf(first, {"", chunkedStream("data: x\n\n"), false});
    cr_expect_eq(response.find("data: x"), response.rfind("data: x"));
    cr_expect_not(response.ends_with("0\r\n\r\n"));
}
