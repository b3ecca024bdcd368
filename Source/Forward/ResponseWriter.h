#pragma once

#include <string>
#include <string_view>

#include "Base/Time.h"
#include "Net/HttpHead.h"

namespace lycheearch {

/// Writes the response to one request. Unless the request is cancelled, the last call is
/// sendResponse(), endStream() or abortResponse().
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;
    /// Sends a complete response.
    virtual void sendResponse(int status, std::string_view reason, HttpFields fields,
                              std::string body, TimePoint now) = 0;
    /// Starts a response whose body has an unknown length and follows in writeStream().
    virtual void beginStream(int status, std::string_view reason, HttpFields fields) = 0;
    virtual void writeStream(std::string_view bytes) = 0;
    /// Whether the caller leaves so much unread that reading from its server must rest.
    virtual bool callerBlocked() const = 0;
    /// Completes a streamed response.
    virtual void endStream(TimePoint now) = 0;
    /// Closes the connection, so that the caller can't take a partial response for a complete one.
    virtual void abortResponse(TimePoint now) = 0;
};

} // namespace lycheearch
