#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Forward/CallerRequests.h"
#include "Net/HttpParser.h"

namespace lycheearch {

/// Why a request is refused before it is complete.
struct RequestRejection
{
    int status = 0;
    const char *cause = nullptr;
};

/// Receives the requests of one connection, one after the other, and accounts for the memory that
/// they take. Bytes that follow a request stay until the next one begins.
class RequestReceiver : private HttpRequestSink
{
public:
    /// \p holder gives up its request if the memory is needed for another one.
    RequestReceiver(CallerRequests &memory, RequestHolder &holder);
    ~RequestReceiver() override;
    RequestReceiver(const RequestReceiver &) = delete;
    RequestReceiver &operator=(const RequestReceiver &) = delete;

    /// Prepares for the next request. Releases the memory of the last one.
    void beginNext(const HttpLimits &limits);
    /// Adds bytes that have arrived.
    void append(std::string_view bytes) { m_input.append(bytes); }
    /// Parses what has arrived.
    void parse(TimePoint now);

    bool headComplete() const { return m_parser && m_parser->headComplete(); }
    bool complete() const { return m_parser && m_parser->complete(); }
    /// Set if the request can't be received.
    const std::optional<RequestRejection> &rejection() const { return m_rejection; }
    const HttpRequestHead &head() const { return m_head; }
    /// Memory that is reserved for the body, in bytes.
    std::size_t bodyRoom() const { return m_bodyRoom; }
    /// Bytes that have arrived and are not parsed.
    std::size_t unparsedBytes() const { return m_input.size(); }

    HttpRequestHead takeHead() { return std::move(m_head); }
    std::string takeBody();
    /// Counts \p bytes more for what was derived from the head. Returns false if they don't fit.
    bool holdDecoded(std::size_t bytes, TimePoint now);
    /// Drops the request and its memory, but not what follows it.
    void release();
    /// Keeps what has arrived beyond a complete request until the next one begins. Returns false,
    /// and drops it, if it does not fit into the memory.
    bool keepAhead(TimePoint now);
    /// Drops what has arrived and is not parsed.
    void dropUnparsed();

private:
    void onRequestHead(HttpRequestHead head) override;
    void onRequestBody(std::string_view bytes) override;
    void rejectMalformed();
    void releaseMessage();
    /// Provides room for \p bytes more of the body.
    bool growBody(std::size_t bytes);
    void rejectForMemory();

    CallerRequests &m_memory;
    const RequestMemory::HolderId m_holderId;
    const RequestMemory::HolderId m_aheadId; ///< Of what has arrived beyond a complete request.
    HttpLimits m_limits;
    std::string m_input;
    std::unique_ptr<HttpRequestParser> m_parser;
    HttpRequestHead m_head;
    std::size_t m_headBytes = 0; ///< Memory of the head.
    std::string m_body;
    std::size_t m_bodyRoom = 0; ///< Reserved for the body.
    std::optional<RequestRejection> m_rejection;
    bool m_begun = false; ///< Bytes of the present request have been parsed.
    TimePoint m_now;
};

} // namespace lycheearch
