#include "Forward/ForwardScripts.h"

// Servers that answer before they have read the request's body, and end the connection meanwhile.

using namespace lycheearch;

namespace {

constexpr Duration TimeToPartialAnswer = 100ms; ///< In which the answer's first part is read.

/// More than the kernel holds of a connection that is not read.
const std::string LongBody(700UL * 1024, 'u');
const std::string UnframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nResponse-Seal: s\r\n\r\n";

/// A server that sends \p answer once it has read the request's head, reads no more, and resets the
/// connection afterwards.
ScriptedBackend::Script answerAndReset(ForwardHarness &harness, const std::string &answer)
{
    return [&harness, answer](Connection &connection, const std::string &) {
        connection.socket.holdReading(true);
        connection.send(answer);
        harness.loop.at(harness.loop.now() + TimeToPartialAnswer,
                        [&connection](TimePoint) { connection.socket.abort(); });
    };
}

/// Sends a long request to a server, or to another daemon, that answers with \p answer and resets
/// the connection while the body is sent.
std::string callWithReset(const std::string &answer, bool throughPeer)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::NonIdempotent, 1));
    if (throughPeer) {
        constexpr int servers = 4;
        for (int i = 0; i < servers; ++i) {
            harness.addBackend({}).stopListening();
        }
        harness.addPeer({}).onHead = answerAndReset(harness, answer);
    } else {
        harness.addBackend({}).onHead = answerAndReset(harness, answer);
    }
    return harness.call(ForwardHarness::request("POST", "", LongBody));
}

} // namespace

Test(resetDuringUpload, a_part_of_an_answer_without_length_is_not_delivered_as_whole, .timeout = 20)
{
    const std::string answer = callWithReset(UnframedHead + "first part", false);
    cr_expect_eq(statusOf(answer), 502, "%s", answer.c_str());
    cr_expect_not(contains(answer, "first part"));
}

Test(resetDuringUpload, a_part_of_another_daemons_answer_is_not_delivered_as_whole, .timeout = 20)
{
    const std::string answer = callWithReset(UnframedHead + "first part", true);
    cr_expect_eq(statusOf(answer), 502, "%s", answer.c_str());
    cr_expect_not(contains(answer, "first part"));
}

Test(resetDuringUpload, a_whole_answer_with_a_length_is_delivered, .timeout = 20)
{
    const std::string answer =
        callWithReset(ForwardHarness::sealedResponse(200, "all of it"), false);
    cr_expect_eq(statusOf(answer), 200, "%s", answer.c_str());
    cr_expect(contains(answer, "all of it"));
}
