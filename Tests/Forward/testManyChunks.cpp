#include <criterion/criterion.h>

#include "Forward/ForwardScripts.h"

using namespace lycheearch;

namespace {

constexpr int Events = 400;

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

} // namespace

// Related to review/7: each chunk of a server was worked off and written by itself.
Test(manyChunks, events_that_arrive_together_are_written_together)
{
    ForwardHarness harness;
    harness.publishRoute(route(RouteKind::EventStream));
    harness.addBackend([](Connection &connection, const std::string &) {
        std::string bytes = streamHead();
        for (int i = 1; i <= Events; ++i) {
            bytes += serializeChunk(event(i));
        }
        connection.send(bytes + std::string(LastChunk));
    });
    const std::string response = harness.call(ForwardHarness::request("POST", "", "b"));
    const std::string body = response.substr(response.find("\r\n\r\n"));
    cr_expect_eq(count(body, "data: d"), Events);
    cr_expect(body.ends_with("0\r\n\r\n"));
    // A chunk for each of the few reads, not for each event.
    cr_expect_leq(count(body, "\r\nid: "), 10);
}
