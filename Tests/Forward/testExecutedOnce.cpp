#include "Forward/ForwardHarness.h"

#include <array>

// What may follow each way in which an attempt can end: a request that must not run twice is not
// sent again, and not refused as "not executed", unless the server proved that it did not run.

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

constexpr int MaxAttempts = 3;

Route route(RouteKind kind, bool resumable)
{
    Route newRoute;
    newRoute.kind = kind;
    newRoute.timeout = 400ms;
    newRoute.latencyObjective = 100ms;
    newRoute.gapObjective = 100ms;
    newRoute.maxAttempts = MaxAttempts;
    newRoute.resumable = resumable;
    return newRoute;
}

/// The head of a successful answer, whose body has the given framing.
std::string head(const std::string &framing, const std::string &seal = "Response-Seal: seal\r\n")
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Type: text/event-stream\r\n" + seal
        + framing + "\r\n";
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string Unframed = "Connection: close\r\n";
const std::string Length = "Content-Length: 500\r\n";
const std::string Event = "id: 1\ndata: x\n\n";
const std::string HalfEvent = "id: 2\nda";

/// One way in which an attempt ends: the server sends the bytes and then closes the connection or
/// says no more.
struct AttemptEnd
{
    const char *name;
    std::string bytes;
    bool closes = true;
    bool executed = true; ///< Otherwise the bytes prove that the request was not executed.
};

std::vector<AttemptEnd> attemptEnds()
{
    const std::string large = "id: 1\ndata: " + std::string(1100UL * 1024, 'x');
    std::string interim;
    for (int i = 0; i < 20; ++i) {
        interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    return {
        {"closed at once", ""},
        {"closed in the head", head(Chunked).substr(0, 40)},
        {"silent", "", false},
        {"no HTTP", "\x01\x02 no answer\r\n\r\n"},
        {"interim responses without end", interim},
        {"chunked, closed before the first event", head(Chunked)},
        {"chunked, closed inside an event", head(Chunked) + serializeChunk(Event + HalfEvent)},
        {"chunked, bad chunk", head(Chunked) + "zz\r\n"},
        {"chunked, ended inside an event",
         head(Chunked) + serializeChunk(HalfEvent) + std::string(LastChunk)},
        {"chunked, ended without events", head(Chunked) + std::string(LastChunk)},
        {"chunked, silent after an event", head(Chunked) + serializeChunk(Event), false},
        {"length, closed before the first event", head(Length)},
        {"length, closed inside an event", head(Length) + Event + HalfEvent},
        {"unframed, closed before the first event", head(Unframed)},
        {"unframed, closed inside the first event", head(Unframed) + HalfEvent},
        {"unframed, closed inside a later event", head(Unframed) + Event + HalfEvent},
        {"an event that is too large", head(Chunked) + serializeChunk(large), false},
        {"a body that is too large", head(Unframed, "") + large, false},
        {"no seal", head(Chunked, "") + serializeChunk(Event) + std::string(LastChunk), false},
        {"encoded content",
         head(Chunked + "Content-Encoding: gzip\r\n") + serializeChunk(Event)
             + std::string(LastChunk),
         false},
        {"error", ForwardHarness::sealedResponse(500, "failed"), false},
        {"a promise of the server that is not marked", ForwardHarness::sealedResponse(503, "ran"),
         false},
        {"declined", ForwardHarness::response(503, "Not-Executed: 1\r\n", "full"), false, false},
        {"declined by another instance", ForwardHarness::response(421, "", "no"), false, false},
    };
}

bool promisesNotExecuted(int status)
{
    constexpr std::array<int, 4> statuses = {408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/// Plays the end of an attempt on all servers of a route.
struct Outcome
{
    Outcome(const AttemptEnd &end, RouteKind kind, bool resumable)
    {
        harness.publishRoute(route(kind, resumable));
        for (int i = 0; i < MaxAttempts; ++i) {
            harness.addBackend([end](Connection &connection, const std::string &) {
                connection.send(end.bytes);
                if (end.closes) {
                    connection.socket.shutdownSending();
                }
            });
        }
        status = ForwardHarness::statusOf(harness.call(ForwardHarness::request("POST", "", "b")));
        sends = harness.received();
    }

    ForwardHarness harness;
    int status = 0;
    std::size_t sends = 0;
};

} // namespace

// Guards against a retry, or a refusal as "not executed", of a stream that ran and was broken off.
Test(executedOnce, a_request_that_must_not_run_twice_runs_once_however_the_attempt_ends,
     .timeout = 120)
{
    for (const RouteKind kind : {RouteKind::NonIdempotent, RouteKind::EventStream}) {
        for (const AttemptEnd &end : attemptEnds()) {
            const Outcome outcome(end, kind, false);
            const char *kindName = kind == RouteKind::EventStream ? "stream" : "plain";
            if (end.executed) {
                cr_expect_eq(outcome.sends, 1, "%s, %s: %zu sends", kindName, end.name,
                             outcome.sends);
                cr_expect_not(promisesNotExecuted(outcome.status), "%s, %s: status %d", kindName,
                              end.name, outcome.status);
            } else {
                cr_expect_gt(outcome.sends, 1, "%s, %s: %zu sends", kindName, end.name,
                             outcome.sends);
                cr_expect_eq(outcome.status, 503, "%s, %s: status %d", kindName, end.name,
                             outcome.status);
            }
        }
    }
}

// Guards against a refusal as "not executed" after an attempt that may have run.
Test(executedOnce, a_request_that_may_run_again_is_not_refused_as_not_executed_after_it_ran,
     .timeout = 120)
{
    for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::EventStream}) {
        for (const AttemptEnd &end : attemptEnds()) {
            const Outcome outcome(end, kind, true);
            const char *kindName = kind == RouteKind::EventStream ? "stream" : "plain";
            cr_expect_eq(promisesNotExecuted(outcome.status), !end.executed, "%s, %s: status %d",
                         kindName, end.name, outcome.status);
        }
    }
}
