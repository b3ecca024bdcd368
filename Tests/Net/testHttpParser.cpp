#include <criterion/criterion.h>

#include "Net/HttpParser.h"

using namespace lycheearch;

namespace {

constexpr HttpLimits Limits{1024, 4096};

struct RequestSink : HttpRequestSink
{
    void onRequestHead(HttpRequestHead received) override { head = std::move(received); }
    void onRequestBody(std::string_view bytes) override { body.append(bytes); }

    HttpRequestHead head;
    std::string body;
};

struct ResponseSink : HttpResponseSink
{
    void onResponseHead(HttpResponseHead received) override { head = std::move(received); }
    void onResponseBody(std::string_view bytes) override { body.append(bytes); }

    HttpResponseHead head;
    std::string body;
};

HttpParseError requestError(std::string bytes)
{
    RequestSink sink;
    HttpRequestParser parser(Limits, sink);
    parser.feed(bytes);
    return parser.parseError();
}

/// Feeds the parser one byte at a time, as a slow peer would.
bool completesByteByByte(const std::string &bytes, RequestSink &sink)
{
    HttpRequestParser parser(Limits, sink);
    std::string input;
    for (const char byte : bytes) {
        input.push_back(byte);
        parser.feed(input);
        if (parser.parseError() != HttpParseError::None) {
            return false;
        }
    }
    return parser.complete() && input.empty();
}

} // namespace

Test(httpParser, a_request_with_a_length_is_read_byte_by_byte)
{
    RequestSink sink;
    cr_expect(completesByteByByte(
        "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", sink));
    cr_expect_str_eq(sink.head.method.c_str(), "POST");
    cr_expect_str_eq(sink.head.target.c_str(), "/a/b?c=1");
    cr_expect_str_eq(sink.body.c_str(), "hello");
}

Test(httpParser, a_chunked_request_is_read)
{
    RequestSink sink;
    cr_expect(completesByteByByte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
                                  sink));
    cr_expect_str_eq(sink.body.c_str(), "hello world");
}

Test(httpParser, bytes_after_the_request_stay_in_the_input)
{
    RequestSink sink;
    HttpRequestParser parser(Limits, sink);
    std::string input = "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\n";
    parser.feed(input);
    cr_expect(parser.complete());
    cr_expect_str_eq(input.c_str(), "GET /next HTTP/1.1\r\n");
}

Test(httpParser, ambiguous_framing_is_malformed)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (const char *fields : {
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Content-Length: 3\r\nContent-Length: 3\r\n",
             "Content-Length: 3, 3\r\n",
             "Content-Length: +3\r\n",
             "Content-Length: -3\r\n",
             "Content-Length: 0x3\r\n",
             "Content-Length: 3 3\r\n",
             "Content-Length: \r\n",
             "Content-Length : 3\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding : chunked\r\n",
             "Content-Length: 99999999999999999999\r\n",
         }) {
        cr_expect_neq(requestError(start + fields + "\r\nabc"), HttpParseError::None,
                      "accepted: %s", fields);
    }
}

Test(httpParser, bad_chunks_are_malformed)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char *body : {"x\r\nabc\r\n0\r\n\r\n", "3\r\nabcdef\r\n0\r\n\r\n", "-1\r\n\r\n",
                             "FFFFFFFFFFFFFFFFF\r\n"}) {
        cr_expect_neq(requestError(start + body), HttpParseError::None, "accepted: %s", body);
    }
}

Test(httpParser, chunk_lines_without_carriage_return_never_complete_a_request)
{
    RequestSink sink;
    HttpRequestParser parser(Limits, sink);
    // The parser keeps waiting for the end of the chunk-size line.
    std::string input = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\nabc\n0\n\n";
    parser.feed(input);
    cr_expect_not(parser.complete());
    cr_expect_str_eq(sink.body.c_str(), "");
}

Test(httpParser, messages_over_the_size_limits_are_rejected)
{
    cr_expect_eq(requestError("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'a')),
                 HttpParseError::HeadTooLarge);
    cr_expect_eq(requestError("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"),
                 HttpParseError::BodyTooLarge);
}

Test(httpParser, binary_data_and_unknown_versions_are_malformed)
{
    cr_expect_eq(requestError(std::string("\x16\x03\x01\x02\x00\x01\x00\x01", 8)),
                 HttpParseError::Malformed);
    cr_expect_eq(requestError("GET / HTTP/9.9\r\nHost: h\r\n\r\n"), HttpParseError::Malformed);
}

Test(httpParser, a_response_without_length_ends_at_connection_close)
{
    ResponseSink sink;
    HttpResponseParser parser(Limits, false, sink);
    std::string input = "HTTP/1.1 200 OK\r\n\r\nabc";
    parser.feed(input);
    cr_expect_not(parser.complete());
    cr_expect(sink.head.isCloseDelimited());
    parser.finish();
    cr_expect(parser.complete());
    cr_expect_str_eq(sink.body.c_str(), "abc");
}

Test(httpParser, a_response_that_ends_early_is_truncated)
{
    for (const char *bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
        ResponseSink sink;
        HttpResponseParser parser(Limits, false, sink);
        std::string input = bytes;
        parser.feed(input);
        parser.finish();
        cr_expect_not(parser.complete());
        cr_expect_eq(parser.parseError(), HttpParseError::Truncated);
    }
}

Test(httpHead, hop_by_hop_fields_are_removed)
{
    HttpFields fields;
    fields.add("Connection", "close, X-Hop");
    fields.add("x-hop", "1");
    fields.add("Keep-Alive", "timeout=5");
    fields.add("TE", "trailers");
    fields.add("X-Kept", "1");
    removeConnectionFields(fields, {});
    cr_expect_eq(fields.all().size(), 1);
    cr_expect_str_eq(fields.all()[0].name.c_str(), "X-Kept");
}

Test(httpHead, parse_number_accepts_only_unsigned_decimals)
{
    cr_expect_eq(parseNumber("17").value_or(-1), 17);
    for (const char *text : {"", "-1", "+1", " 1", "1 ", "1x", "99999999999999999999"}) {
        cr_expect_not(parseNumber(text).has_value(), "accepted: '%s'", text);
    }
}

namespace {

/// Feeds the parser pieces without end and returns the most bytes that it left unconsumed. Fails if
/// the parser accepts more than \p accepted bytes.
std::size_t feedEndlessly(const std::string &start, const std::string &piece, std::size_t accepted)
{
    ResponseSink sink;
    HttpResponseParser parser(Limits, false, sink);
    std::string input = start;
    std::size_t total = 0;
    std::size_t held = 0;
    parser.feed(input);
    while (parser.parseError() == HttpParseError::None && !parser.complete() && total < accepted) {
        input.append(piece);
        total += piece.size();
        parser.feed(input);
        held = std::max(held, input.size());
    }
    cr_expect(parser.parseError() != HttpParseError::None, "accepted %zu bytes", total);
    cr_expect_leq(sink.body.size(), Limits.bodyBytes);
    return held;
}

} // namespace

Test(httpParser, bytes_without_end_are_an_error_wherever_they_come)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::size_t accepted = 4 * (Limits.headBytes + Limits.bodyBytes);
    const std::size_t most = 2 * Limits.headBytes;
    cr_expect_leq(feedEndlessly("", "x", accepted), most);
    cr_expect_leq(feedEndlessly("HTTP/1.1 200 ", "reason ", accepted), most);
    cr_expect_leq(feedEndlessly(head + "Name: ", "value ", accepted), most);
    cr_expect_leq(feedEndlessly(head, "Name: value\r\n", accepted), most);
    cr_expect_leq(feedEndlessly(head + "\r\n", "body", accepted), most);
    cr_expect_leq(feedEndlessly(chunked, "4\r\nbody\r\n", accepted), most);
    cr_expect_leq(feedEndlessly(chunked + "4;", "extension", accepted), most);
    cr_expect_leq(feedEndlessly(chunked, "1;extension=value\r\nx\r\n", 400 * accepted), most);
    cr_expect_leq(feedEndlessly(chunked + "0\r\n", "Trailer: value\r\n", accepted), most);
    cr_expect_leq(feedEndlessly(chunked + "0\r\nTrailer: ", "value ", accepted), most);
}
