#include "Forward/RequestReceiver.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

/// Room for a chunked body begins with this and is doubled when it does not suffice.
constexpr std::size_t FirstBodyRoom = 8UL * 1024;

} // namespace

RequestReceiver::RequestReceiver(CallerRequests &memory, RequestHolder &holder)
    : m_memory(memory)
    , m_holderId(memory.add(holder))
    , m_aheadId(memory.add(holder))
{
}

RequestReceiver::~RequestReceiver()
{
    m_memory.remove(m_holderId);
    m_memory.remove(m_aheadId);
}

void RequestReceiver::beginNext(const HttpLimits &limits)
{
    release();
    m_memory.release(m_aheadId);
    m_limits = limits;
    HttpRequestSink &sink = *this;
    m_parser = std::make_unique<HttpRequestParser>(limits, sink);
    m_rejection.reset();
    m_begun = false;
}

void RequestReceiver::release()
{
    m_parser.reset();
    releaseMessage();
}

void RequestReceiver::releaseMessage()
{
    // Assigning an empty string would keep the memory.
    m_head = HttpRequestHead();
    m_headBytes = 0;
    std::string().swap(m_body);
    m_bodyRoom = 0;
    m_memory.release(m_holderId);
}

bool RequestReceiver::keepAhead(TimePoint now)
{
    if (m_input.empty()) {
        return true;
    }
    m_memory.begin(m_aheadId, now);
    if (m_memory.hold(CallerRequests::Pool::Heads, m_aheadId, m_input.capacity(), now)) {
        return true;
    }
    dropUnparsed();
    return false;
}

void RequestReceiver::dropUnparsed()
{
    std::string().swap(m_input);
    m_memory.release(m_aheadId);
}

std::string RequestReceiver::takeBody()
{
    return std::exchange(m_body, std::string());
}

void RequestReceiver::parse(TimePoint now)
{
    m_now = now;
    if (m_begun) {
        m_memory.onProgress(m_holderId, now);
    } else {
        m_begun = true;
        m_memory.begin(m_holderId, now);
    }
    m_parser->feed(m_input);
    if (m_input.size() < m_input.capacity() / 2) {
        m_input.shrink_to_fit(); // Most of it was parsed.
    }
    if (!m_rejection) {
        rejectMalformed();
    }
    if (!m_rejection && !complete()
        && !m_memory.hold(CallerRequests::Pool::Heads, m_holderId,
                          m_headBytes + m_parser->fieldMemoryBytes() + m_input.capacity(), now)) {
        rejectForMemory();
    }
    if (m_rejection) {
        // At once: many requests may be refused before their connections are closed.
        std::string().swap(m_input);
        release();
    } else if (complete()) {
        m_memory.onComplete(m_holderId);
    }
}

void RequestReceiver::rejectMalformed()
{
    switch (m_parser->parseError()) {
    case HttpParseError::None:
        break;
    case HttpParseError::HeadTooLarge:
        m_rejection = {HttpStatus::HeadTooLarge, "request header fields too large"};
        break;
    case HttpParseError::BodyTooLarge:
        m_rejection = {HttpStatus::PayloadTooLarge, "request body too large"};
        break;
    case HttpParseError::Malformed:
    case HttpParseError::Truncated:
        m_rejection = {HttpStatus::BadRequest, "malformed request"};
        break;
    }
}

void RequestReceiver::rejectForMemory()
{
    m_rejection = {HttpStatus::Unavailable, "memory limit for requests reached"};
}

void RequestReceiver::onRequestHead(HttpRequestHead head)
{
    m_head = std::move(head);
    m_headBytes = memoryBytes(m_head);
    if (!m_memory.hold(CallerRequests::Pool::Heads, m_holderId, m_headBytes, m_now)) {
        rejectForMemory();
        return;
    }
    // Reserved as a whole, so that a body that has begun can be completed.
    if (m_head.contentLength && !growBody(static_cast<std::size_t>(*m_head.contentLength))) {
        rejectForMemory();
    }
}

void RequestReceiver::onRequestBody(std::string_view bytes)
{
    if (m_rejection) {
        return;
    }
    if (!growBody(bytes.size())) {
        rejectForMemory();
        return;
    }
    m_body.append(bytes);
}

bool RequestReceiver::growBody(std::size_t bytes)
{
    const std::size_t needed = m_body.size() + bytes;
    if (needed <= m_bodyRoom) {
        return true;
    }
    std::size_t room = needed;
    if (!m_head.contentLength) {
        const auto most = static_cast<std::size_t>(m_limits.bodyBytes);
        room = std::max(needed, std::min(most, std::max(FirstBodyRoom, 2 * m_bodyRoom)));
    }
    if (!m_memory.hold(CallerRequests::Pool::Bodies, m_holderId, room, m_now)) {
        return false;
    }
    m_bodyRoom = room;
    m_body.reserve(room);
    return true;
}

bool RequestReceiver::holdDecoded(std::size_t bytes, TimePoint now)
{
    return m_memory.hold(CallerRequests::Pool::Heads, m_holderId, m_headBytes + bytes, now);
}

} // namespace lycheearch
