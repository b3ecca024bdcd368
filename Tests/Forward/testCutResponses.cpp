#include "Forward/ForwardScripts.h"

// Responses of servers that stop at any place. Nothing that is not whole may look whole to a
// caller.

using namespace lycheearch;

namespace {

enum class Cut { Close, Reset };

/// Sends the first \p length bytes of a response and stops.
ScriptedBackend::Script cutAfter(const std::string &response, std::size_t length, Cut cut)
{
    return [=](Connection &connection, const std::string &) {
        connection.send(response.substr(0, length));
        if (cut == Cut::Close) {
            connection.socket.shutdownSending();
        } else {
            connection.socket.abort();
        }
    };
}

const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\n";

std::string bodyOf(const std::string &response)
{
    const std::size_t head = response.find("\r\n\r\n");
    return head == std::string::npos ? "" : response.substr(head + 4);
}

} // namespace

// A server that stopped in the middle of its response's head passed for one with an empty body.
Test(cutResponses, a_response_that_is_cut_anywhere_is_not_answered_as_whole, .timeout = 120)
{
    const std::vector<std::string> responses = {
        Head + "X-A: 1\r\nContent-Length: 12\r\n\r\nhello, there",
        Head + "Content-Length: 12\r\nX-A: 1\r\n\r\nhello, there",
        Head + "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nthere\r\n0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + Head
            + "Content-Length: 12\r\n\r\nhello, there",
    };
    for (const std::string &response : responses) {
        for (std::size_t length = 0; length < response.size(); ++length) {
            ForwardHarness harness;
            harness.publishRoute(route(RouteKind::NonIdempotent, 1));
            harness.addBackend(cutAfter(response, length, Cut::Close));
            const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
            cr_expect_eq(statusOf(answer), 502, "cut after '%s': %s",
                         response.substr(0, length).c_str(), answer.c_str());
        }
    }
}

Test(cutResponses, a_response_without_length_is_whole_only_if_its_connection_is_closed,
     .timeout = 120)
{
    const std::string response = Head + "X-A: 1\r\n\r\nhello";
    const std::size_t headLength = response.size() - 5;
    for (const Cut cut : {Cut::Close, Cut::Reset}) {
        for (std::size_t length = 0; length <= response.size(); ++length) {
            ForwardHarness harness;
            harness.publishRoute(route(RouteKind::NonIdempotent, 1));
            harness.addBackend(cutAfter(response, length, cut));
            const std::string answer = harness.call(ForwardHarness::request("POST", "", "b"));
            const bool whole = cut == Cut::Close && length >= headLength;
            cr_expect_eq(statusOf(answer), whole ? 200 : 502, "cut after '%s'",
                         response.substr(0, length).c_str());
            if (whole) {
                cr_expect_str_eq(bodyOf(answer).c_str(),
                                 response.substr(headLength, length).c_str());
            }
        }
    }
}

Test(cutResponses, a_stream_that_is_cut_anywhere_does_not_end_as_whole, .timeout = 120)
{
    const std::string response =
        streamHead() + serializeChunk(event(1)) + serializeChunk(event(2)) + std::string(LastChunk);
    for (std::size_t length = 0; length < response.size(); ++length) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::EventStream, 1));
        harness.addBackend(cutAfter(response, length, Cut::Close));
        const std::string answer = harness.call(ForwardHarness::request("GET"));
        cr_expect(statusOf(answer) == 502 || statusOf(answer) == 200);
        cr_expect_not(contains(answer, "\r\n0\r\n\r\n"), "cut after '%s': %s",
                      response.substr(0, length).c_str(), answer.c_str());
    }
}

// An HTTP/1.0 caller gets a stream without chunks. It ends with its connection, so that only a
// reset tells the caller that the stream broke off.
Test(cutResponses, a_stream_that_breaks_off_is_reset_for_callers_without_chunks, .timeout = 60)
{
    const std::string whole = streamHead() + serializeChunk(event(1)) + std::string(LastChunk);
    const std::string request = "GET /a/x HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: q1\r\n"
                                "Api-Key: k\r\nTime-Budget-Ms: 2000\r\n\r\n";
    for (const bool cut : {false, true}) {
        ForwardHarness harness;
        harness.publishRoute(route(RouteKind::EventStream, 1));
        const std::size_t length = cut ? whole.size() - LastChunk.size() : whole.size();
        harness.addBackend(cutAfter(whole, length, Cut::Close));
        const std::string answer = harness.call(request);
        cr_expect_eq(statusOf(answer), 200);
        cr_expect(harness.callerEnd
                  == (cut ? ForwardHarness::ConnectionEnd::Reset
                          : ForwardHarness::ConnectionEnd::Closed));
    }
}
