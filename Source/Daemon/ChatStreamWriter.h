#pragma once

#include <ostream>

#include <Poco/Net/HTTPServerResponse.h>

#include "Adapters/ModelEngine.h"
#include "Request/RequestContext.h"

namespace lycheearch {

/// Streams a response to the caller as server-sent events in the format of OpenAI's chat API.
/// Writes after the caller has disconnected are dropped.
class ChatStreamWriter : public DeltaSink
{
public:
    ChatStreamWriter(Poco::Net::HTTPServerResponse &response, const RequestContext &context);

    /// Writes one part of the response. Returns false if the caller has disconnected and sent no
    /// idempotency key, without which it cannot fetch the response later.
    bool onDelta(const std::string &text) override;
    /// Ends the stream. The whole text is written first if it is a replayed response or if nothing
    /// was streamed yet.
    void finish(const RequestResult &result, bool replayed);
    /// Ends a started stream with an error event.
    void fail(const std::string &errorJson);
    /// Whether the response headers were sent.
    bool begun() const { return m_out != nullptr; }

private:
    void begin();
    void writeEvent(const std::string &json);

    Poco::Net::HTTPServerResponse &m_response;
    const RequestContext &m_context;
    std::ostream *m_out = nullptr;
    bool m_callerDisconnected = false;
};

} // namespace lycheearch
