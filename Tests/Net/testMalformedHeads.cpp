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
