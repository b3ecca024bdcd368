#include <algorithm>

#include "Forward/ForwardScripts.h"

// A sender may name fields in Connection that the next hop must not pass on. Fields that the router
// sets, and those that have to reach the other end, are none of them.

using namespace lycheearch;

namespace {

/// Values of a field in a message; names are compared as they are written.
std::vector<std::string> valuesOf(const std::string &message, const std::string &name)
{
    std::vector<std::string> values;
    const std::string start = "\r\n" + name + ": ";
    for (std::size_t at = message.find(start); at != std::string::npos;
         at = message.find(start, at + 1)) {
        const std::size_t value = at + start.size();
        values.push_back(message.substr(value, message.find("\r\n", value) - value));
    }
    return values;
}

void expectOnce(const std::string &message, const std::string &name, const std::string &value,
                const std::string &connection)
{
    const std::vector<std::string> values = valuesOf(message, name);
    cr_expect(values.size() == 1 && values.front() == value, "%s after %s:\n%s", name.c_str(),
              connection.c_str(), message.c_str());
}

/// Fields of a caller's request that have to reach the server as they are.
const std::string CallerFields = "Model: m\r\nToken-Count: 7,8\r\nPrompt-Prefix: ab:3,cd:4\r\n"
                                 "Session: s1\r\nLength-Hint: 5\r\nLast-Event-Id: 3\r\n"
                                 "Content-Type: text/plain\r\n";

/// Connection fields that name \p field, in the ways in which callers write them.
std::vector<std::string> connectionFields(const std::string &field)
{
    std::string upper = field;
    std::transform(upper.begin(), upper.end(), upper.begin(), ::toupper);
    return {"Connection: close, " + field + "\r\n", "Connection: " + upper + "\r\n",
            "connection:\t" + field + " ,, x-a\r\n",
            "Connection: x-a\r\nCONNECTION: close," + field + ",\r\n"};
}

const std::vector<std::string> RequestFields = {
    "Tenant",        "Target-Instance", "Time-Budget-Ms", "Attempt-Id",  "Model",
    "Token-Count",   "Prompt-Prefix",   "Session",        "Length-Hint", "Host",
    "Last-Event-Id", "Content-Length",  "Content-Type",   "Api-Key"};

} // namespace

// A caller removed the name of its account from the request, so that the server ran it without one.
Test(connectionFields, callers_cannot_remove_fields_of_a_request, .timeout = 60)
{
    for (const std::string &field : RequestFields) {
        for (const std::string &connection : connectionFields(field)) {
            ForwardHarness harness;
            harness.publishRoute(route(RouteKind::NonIdempotent, 1));
            ScriptedBackend &backend = harness.addBackend(serve);
            const std::string response = harness.call(ForwardHarness::request(
                "POST", connection + CallerFields + "Tenant: forged\r\n", "body"));
            cr_expect_eq(statusOf(response), 200, "%s", connection.c_str());
            cr_assert_eq(backend.requests.size(), 1);
            const std::string &sent = backend.requests[0];
            expectOnce(sent, "Tenant", "acc", connection);
            expectOnce(sent, "Target-Instance", "b0", connection);
            expectOnce(sent, "Attempt-Id", "q1", connection);
            expectOnce(sent, "Model", "m", connection);
            expectOnce(sent, "Token-Count", "7,8", connection);
            expectOnce(sent, "Prompt-Prefix", "ab:3,cd:4", connection);
            expectOnce(sent, "Session", "s1", connection);
            expectOnce(sent, "Length-Hint", "5", connection);
            expectOnce(sent, "Last-Event-Id", "3", connection);
            expectOnce(sent, "Host", "h.example", connection);
            expectOnce(sent, "Content-Length", "4", connection);
            expectOnce(sent, "Content-Type", "text/plain", connection);
            cr_expect_eq(valuesOf(sent, "Time-Budget-Ms").size(), 1);
            cr_expect(valuesOf(sent, "Api-Key").empty());
        }
    }
}

Test(connectionFields, other_fields_that_a_caller_names_are_not_passed_on, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::Idempotent));
    ScriptedBackend &backend = harness.addBackend(serve);
    harness.call(ForwardHarness::request("GET", "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"));
    cr_assert_eq(backend.requests.size(), 1);
    cr_expect(valuesOf(backend.requests[0], "X-Hop").empty());
    cr_expect(valuesOf(backend.requests[0], "Connection").empty());
    expectOnce(backend.requests[0], "X-End", "2", "Connection: X-Hop");
}

Test(connectionFields, callers_cannot_remove_fields_of_a_request_that_is_passed_on, .timeout = 60)
{
    for (const std::string field : {"Api-Key", "Time-Budget-Ms", "Attempt-Id", "Host",
                                    "Lycheearch-Relay-Attempts", "Lycheearch-Relay-Config"}) {
        ForwardHarness harness;
        Route slow = route(RouteKind::Idempotent, 3);
        slow.timeout = 2s;
        harness.publishRoute(slow);
        for (int i = 0; i < 4; ++i) {
            harness.addBackend(serve).stopListening();
        }
        ScriptedBackend &peer = harness.addPeer(serve);
        const std::string connection = "Connection: close, " + field + "\r\n";
        harness.call(ForwardHarness::request("GET", connection));
        cr_assert_eq(peer.requests.size(), 1, "%s", field.c_str());
        const std::string &sent = peer.requests[0];
        expectOnce(sent, "Api-Key", "k", connection);
        expectOnce(sent, "Attempt-Id", "q1", connection);
        expectOnce(sent, "Host", "h.example", connection);
        cr_expect_eq(valuesOf(sent, "Time-Budget-Ms").size(), 1);
        cr_expect_eq(valuesOf(sent, "Lycheearch-Relay-Attempts").size(), 1);
        cr_expect_eq(valuesOf(sent, "Lycheearch-Relay-Config").size(), 1);
    }
}

Test(connectionFields, servers_cannot_remove_fields_that_callers_need, .timeout = 60)
{
    const std::string needed = "Response-Seal: seal\r\nContent-Type: text/x\r\n"
                               "Retry-After: 2\r\nX-Hop: 1\r\n"
                               "Connection: X-Hop, Response-Seal, attempt-id, Content-Type, "
                               "Retry-After\r\n";
    for (const int status : {200, 404, 500}) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::NonIdempotent, 1));
        harness.addBackend([&](Connection &connection, const std::string &) {
            connection.send(ForwardHarness::response(status, needed, "hello"));
        });
        const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
        cr_expect_eq(statusOf(response), status);
        expectOnce(response, "Response-Seal", "seal", needed);
        expectOnce(response, "Attempt-Id", "q1", needed);
        expectOnce(response, "Content-Type", "text/x", needed);
        expectOnce(response, "Retry-After", "2", needed);
        cr_expect(valuesOf(response, "X-Hop").empty());
    }
}

Test(connectionFields, servers_cannot_remove_fields_of_a_stream, .timeout = 20)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: seal\r\n"
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        "Connection: Response-Seal, Content-Type\r\n\r\n"
                        + serializeChunk(event(1)) + std::string(LastChunk));
    });
    const std::string response = harness.call(ForwardHarness::request("GET"));
    expectOnce(response, "Response-Seal", "seal", "a stream");
    expectOnce(response, "Content-Type", "text/event-stream", "a stream");
}
