#include <criterion/criterion.h>

#include "Net/HttpParser.h"

// Heads of responses that are no HTTP.

using namespace lycheearch;

namespace {

constexpr HttpLimits Limits{1024, 4096};

struct ResponseSink : HttpResponseSink
{
    void onResponseHead(HttpResponseHead) override { headReceived = true; }
    void onResponseBody(std::string_view) override { }

    bool headReceived = false;
};

void expectMalformed(const std::string &head)
{
    ResponseSink sink;
    HttpResponseParser parser(Limits, false, sink);
    std::string input = head + "Content-Length: 5\r\n\r\nhello";
    parser.feed(input);
    cr_expect(parser.parseError() == HttpParseError::Malformed, "accepted: %s", head.c_str());
    cr_expect_not(sink.headReceived, "passed on: %s", head.c_str());
}

} // namespace

Test(httpParser, a_status_outside_100_to_599_is_malformed)
{
    for (const char *status : {"000", "001", "099", "600", "999", "20", "2000", "-20", "abc"}) {
        expectMalformed("HTTP/1.1 " + std::string(status) + " X\r\n");
    }
}

Test(httpParser, a_field_name_with_a_blank_or_control_byte_is_malformed)
{
    for (int byte = 0; byte < 256; ++byte) {
        const bool blankOrControl = byte <= ' ' || byte == 0x7f;
        if (!blankOrControl) {
            continue;
        }
        const std::string bad(1, static_cast<char>(byte));
        for (const std::string &name : {"X" + bad + "Name", "Name" + bad, bad + "Name"}) {
            expectMalformed("HTTP/1.1 200 OK\r\n" + name + ": value\r\n");
            expectMalformed("HTTP/1.1 200 OK\r\nFirst: value\r\n" + name + ": value\r\n");
        }
    }
}

// A client that takes the name for Transfer-Encoding, and one that does not, see different bodies.
Test(httpParser, a_framing_field_whose_name_holds_a_blank_is_malformed)
{
    expectMalformed("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n");
    expectMalformed("HTTP/1.1 200 OK\r\nX: 1\r\n Transfer-Encoding: chunked\r\n");
    expectMalformed("HTTP/1.1 200 OK\r\nX: 1\r\n\tTransfer-Encoding: chunked\r\n");
}
