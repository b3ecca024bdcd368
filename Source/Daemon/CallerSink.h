#pragma once

#include <ostream>

#include <Poco/Net/HTTPServerResponse.h>

#include "OwnFormats/ModelEngine.h"
#include "Request/RequestContext.h"

namespace lycheearch {

/// Writes an answer to the caller as server-sent events, in the form of OpenAI's chat API.
class CallerSink : public DeltaSink
{
public:
    CallerSink(Poco::Net::HTTPServerResponse &response, const RequestContext &context);

    /// Returns false if the caller is gone and may not ask for the answer again.
    bool onDelta(const std::string &text) override;
    /// Writes the end of an answer. A text that was not streamed yet is written first.
    void finish(const FinishedAnswer &answer, bool replayed);
    /// Ends a stream that has begun with an error event.
    void fail(const std::string &errorJson);
    bool begun() const { return m_out != nullptr; }

private:
    void begin();
    void writeEvent(const std::string &json);

    Poco::Net::HTTPServerResponse &m_response;
    const RequestContext &m_context;
    std::ostream *m_out = nullptr;
    bool m_callerGone = false;
};

} // namespace lycheearch
