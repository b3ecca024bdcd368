#include "Net/HttpParser.h"

#include <boost/beast/http/basic_parser.hpp>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

namespace http = boost::beast::http;
using BoostError = boost::beast::error_code;
using BoostView = boost::beast::string_view;

std::string toString(BoostView text)
{
    return {text.data(), text.size()};
}

HttpParseError toParseError(const BoostError &error)
{
    if (error == http::error::header_limit) {
        return HttpParseError::HeadTooLarge;
    }
    if (error == http::error::body_limit) {
        return HttpParseError::BodyTooLarge;
    }
    if (error == http::error::partial_message || error == http::error::end_of_stream) {
        return HttpParseError::Truncated;
    }
    return HttpParseError::Malformed;
}

/// Whether Content-Length and Transfer-Encoding define the end of the body unambiguously.
bool framingIsUnambiguous(const HttpFields &fields, bool chunked)
{
    const std::size_t encodings = fields.count("transfer-encoding");
    const std::size_t lengths = fields.count("content-length");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return false;
    }
    if (encodings == 1) {
        return chunked && equalIgnoringCase(*fields.find("transfer-encoding"), "chunked");
    }
    return lengths == 0 || parseNumber(*fields.find("content-length")).has_value();
}

/// Base class of the request and response parsers: input loop, header fields and errors.
template <bool IsRequest>
class MessageParser : public http::basic_parser<IsRequest>
{
public:
    using Base = http::basic_parser<IsRequest>;

    explicit MessageParser(HttpLimits limits)
    {
        m_headBytes = limits.headBytes;
        this->header_limit(limits.headBytes);
        this->body_limit(limits.bodyBytes);
        this->eager(true);
    }

    void feed(std::string &input)
    {
        std::size_t consumed = 0;
        while (consumed < input.size() && !m_error && !this->is_done()) {
            BoostError error;
            const std::size_t count = this->put(
                boost::asio::buffer(input.data() + consumed, input.size() - consumed), error);
            consumed += count;
            if (error == http::error::need_more) {
                break;
            }
            m_error = error;
            if (count == 0 && !error) {
                break;
            }
        }
        input.erase(0, consumed);
        if (!m_error && !this->is_done() && input.size() > m_headBytes) {
            m_error = http::error::header_limit; // For example, a chunk extension without end.
        }
    }

    void finish()
    {
        if (!m_error && !this->is_done()) {
            BoostError error;
            this->put_eof(error);
            m_error = error;
        }
    }

    std::size_t fieldMemoryBytes() const { return m_fields.memoryBytes(); }

    HttpParseError parseError() const
    {
        return m_error ? toParseError(m_error) : HttpParseError::None;
    }

protected:
    HttpFields m_fields;

    void reject() { m_error = http::error::bad_field; }

    void on_field_impl(http::field, BoostView name, BoostView value, BoostError &error) override
    {
        // The limit of the base class applies to the head, not to the trailer after a chunked body.
        m_fieldBytes += name.size() + value.size();
        if (m_fieldBytes > m_headBytes) {
            error = http::error::header_limit;
            return;
        }
        if (this->is_header_done()) {
            return; // Trailers are not used.
        }
        m_fields.add(toString(name), toString(value));
    }
    void on_body_init_impl(boost::optional<std::uint64_t> const &, BoostError &) override { }
    void on_chunk_header_impl(std::uint64_t, BoostView, BoostError &) override { }
    void on_finish_impl(BoostError &) override { }

private:
    std::size_t m_headBytes = 0;
    std::size_t m_fieldBytes = 0;
    BoostError m_error;
};

} // namespace

class HttpRequestParser::Private : public MessageParser<true>
{
public:
    Private(HttpLimits limits, HttpRequestSink &sink)
        : MessageParser<true>(limits)
        , m_sink(sink)
    {
    }

private:
    void on_request_impl(http::verb, BoostView method, BoostView target, int version,
                         BoostError &) override
    {
        constexpr int http10Version = 10;
        m_head.method = toString(method);
        m_head.target = toString(target);
        m_head.isHttp10 = version == http10Version;
    }
    void on_response_impl(int, BoostView, int, BoostError &) override { }

    void on_header_impl(BoostError &error) override
    {
        if (!framingIsUnambiguous(m_fields, chunked()) || (m_head.isHttp10 && chunked())) {
            error = http::error::bad_content_length;
            return;
        }
        m_head.fields = std::move(m_fields);
        m_head.keepAlive = keep_alive();
        m_head.chunked = chunked();
        if (const auto length = content_length()) {
            m_head.contentLength = *length;
        }
        m_sink.onRequestHead(std::move(m_head));
    }

    std::size_t on_body_impl(BoostView body, BoostError &) override
    {
        m_sink.onRequestBody({body.data(), body.size()});
        return body.size();
    }
    std::size_t on_chunk_body_impl(std::uint64_t, BoostView body, BoostError &error) override
    {
        return on_body_impl(body, error);
    }

    HttpRequestSink &m_sink;
    HttpRequestHead m_head;
};

HttpRequestParser::HttpRequestParser(HttpLimits limits, HttpRequestSink &sink)
    : m_private(std::make_unique<Private>(limits, sink))
{
}

HttpRequestParser::~HttpRequestParser() = default;

void HttpRequestParser::feed(std::string &input)
{
    m_private->feed(input);
}

bool HttpRequestParser::headComplete() const
{
    return m_private->is_header_done();
}

bool HttpRequestParser::complete() const
{
    return m_private->is_done();
}

HttpParseError HttpRequestParser::parseError() const
{
    return m_private->parseError();
}

std::size_t HttpRequestParser::fieldMemoryBytes() const
{
    return m_private->fieldMemoryBytes();
}

/// Finds lines of a head that begin with a blank: the obsolete folding of field values. Others take
/// such a line for a field of its own.
class FoldedLineDetector
{
public:
    /// Whether there is one in \p input, which begins with the head at each call.
    bool found(std::string_view input)
    {
        for (; !m_ended && m_scanned < input.size(); ++m_scanned) {
            const char byte = input[m_scanned];
            if (m_atLineStart && (byte == ' ' || byte == '\t')) {
                return true;
            }
            m_ended = m_atLineStart && byte == '\r';
            m_atLineStart = byte == '\n';
        }
        return false;
    }

private:
    std::size_t m_scanned = 0;
    bool m_atLineStart = false;
    bool m_ended = false; ///< The blank line after the head was found.
};

class HttpResponseParser::Private : public MessageParser<false>
{
public:
    Private(HttpLimits limits, bool bodyless, HttpResponseSink &sink)
        : MessageParser<false>(limits)
        , m_sink(sink)
    {
        skip(bodyless);
    }

    void feed(std::string &input)
    {
        // The base class consumes nothing of a head until it is complete.
        if (!is_header_done() && m_foldedLines.found(input)) {
            reject();
            return;
        }
        MessageParser<false>::feed(input);
    }

private:
    void on_request_impl(http::verb, BoostView, BoostView, int, BoostError &) override { }

    void on_response_impl(int status, BoostView reason, int, BoostError &error) override
    {
        if (status < HttpStatus::FirstValid || status > HttpStatus::LastValid) {
            error = http::error::bad_status;
            return;
        }
        m_head.status = status;
        m_head.reason = toString(reason);
    }

    void on_header_impl(BoostError &error) override
    {
        if (!framingIsUnambiguous(m_fields, chunked())) {
            error = http::error::bad_content_length;
            return;
        }
        m_head.fields = std::move(m_fields);
        m_head.keepAlive = keep_alive();
        m_head.chunked = chunked();
        if (const auto length = content_length()) {
            m_head.contentLength = *length;
        }
        m_sink.onResponseHead(std::move(m_head));
    }

    std::size_t on_body_impl(BoostView body, BoostError &) override
    {
        m_sink.onResponseBody({body.data(), body.size()});
        return body.size();
    }
    std::size_t on_chunk_body_impl(std::uint64_t, BoostView body, BoostError &error) override
    {
        return on_body_impl(body, error);
    }

    HttpResponseSink &m_sink;
    HttpResponseHead m_head;
    FoldedLineDetector m_foldedLines;
};

HttpResponseParser::HttpResponseParser(HttpLimits limits, bool bodyless, HttpResponseSink &sink)
    : m_private(std::make_unique<Private>(limits, bodyless, sink))
{
}

HttpResponseParser::~HttpResponseParser() = default;

void HttpResponseParser::feed(std::string &input)
{
    m_private->feed(input);
}

void HttpResponseParser::finish()
{
    m_private->finish();
}

bool HttpResponseParser::headComplete() const
{
    return m_private->is_header_done();
}

bool HttpResponseParser::complete() const
{
    return m_private->is_done();
}

HttpParseError HttpResponseParser::parseError() const
{
    return m_private->parseError();
}

} // namespace lycheearch
