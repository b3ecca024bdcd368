#pragma once

#include <string>
#include <string_view>

#include "Base/Time.h"
#include "Net/HttpHead.h"

namespace lycheearch {

/// Where the answer to one request goes.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// A whole answer. The last call.
    virtual void sendWhole(int status, std::string_view reason, HttpFields fields,
                           std::string_view body, TimePoint now) = 0;
    /// Starts an answer whose end is not known yet.
    virtual void beginStream(int status, std::string_view reason, HttpFields fields) = 0;
    virtual void streamBytes(std::string_view bytes) = 0;
    /// Ends a stream as complete. The last call.
    virtual void endStream(TimePoint now) = 0;
    /// Ends the connection, so that what was sent can't be taken for a whole answer. The last call.
    virtual void breakOff(TimePoint now) = 0;
};

} // namespace lycheearch
