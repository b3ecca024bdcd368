#include "Adapters/HttpResponseReader.h"

#include <array>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

constexpr std::size_t ReceiveBufferBytes = 16UL * 1024;
/// Chunk headers, trailers and interim responses may take this part of the largest body.
constexpr std::size_t FramingDivisor = 4;

} // namespace

HttpResponseReader::HttpResponseReader(const Poco::Net::StreamSocket &socket, HttpLimits limits)
    : m_socket(socket)
    , m_limits(limits)
{
    restartParser();
}

void HttpResponseReader::send(std::string_view bytes)
{
    try {
        while (!bytes.empty()) {
            const int sent = m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    } catch (const Poco::Net::NetException &) {
        m_sendFailed = true; // The server may have answered before it closed the connection.
    }
}

const HttpResponseHead &HttpResponseReader::readHead()
{
    while (!m_parser->headComplete()) {
        receive();
    }
    return m_head;
}

std::string HttpResponseReader::readSome()
{
    while (m_body.empty() && !m_parser->complete()) {
        receive();
    }
    return std::exchange(m_body, {});
}

std::string HttpResponseReader::readBody()
{
    while (!m_parser->complete()) {
        receive();
    }
    return std::exchange(m_body, {});
}

bool HttpResponseReader::reusable() const
{
    return m_parser->complete() && m_input.empty() && !m_sendFailed && m_head.keepAlive
        && !m_head.isCloseDelimited();
}

void HttpResponseReader::restartParser()
{
    HttpResponseSink &sink = *this;
    m_parser = std::make_unique<HttpResponseParser>(m_limits, false, sink);
}

void HttpResponseReader::receive()
{
    std::array<char, ReceiveBufferBytes> buffer{};
    const int count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) {
        finish();
        return;
    }
    m_receivedBytes += static_cast<std::size_t>(count);
    if (m_receivedBytes
        > m_limits.headBytes + m_limits.bodyBytes + m_limits.bodyBytes / FramingDivisor) {
        throw Poco::Net::MessageException("the response is too large");
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    feed();
}

void HttpResponseReader::feed()
{
    m_parser->feed(m_input);
    while (m_parser->complete() && m_head.status < HttpStatus::Ok) {
        if (++m_interimCount > MaxInterimResponses) {
            throw Poco::Net::MessageException("too many interim responses");
        }
        restartParser();
        m_parser->feed(m_input);
    }
    if (m_parser->parseError() != HttpParseError::None) {
        throw Poco::Net::MessageException("the response is malformed or too large");
    }
}

void HttpResponseReader::finish()
{
    // After a failed write, the kernel reports an orderly end also for a reset.
    if (m_parser->headComplete() && !m_sendFailed) {
        m_parser->finish();
    }
    if (!m_parser->complete()) {
        throw Poco::Net::MessageException("the response was truncated");
    }
}

void HttpResponseReader::onResponseHead(HttpResponseHead head)
{
    m_head = std::move(head);
}

} // namespace lycheearch
