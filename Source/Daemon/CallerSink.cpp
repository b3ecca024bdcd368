#include "Daemon/CallerSink.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {

std::string chunk(const RequestContext &context, const nlohmann::json &delta,
                  const nlohmann::json &finishReason)
{
    return nlohmann::json{
        {"id", context.request.id.value()},
        {"object", "chat.completion.chunk"},
        {"model", context.request.model.value()},
        {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finishReason}}}}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CallerSink::CallerSink(Poco::Net::HTTPServerResponse &response, const RequestContext &context)
    : m_response(response)
    , m_context(context)
{
}

void CallerSink::begin()
{
    m_response.setChunkedTransferEncoding(true);
    m_response.setContentType("text/event-stream");
    m_response.set("X-Request-Id", m_context.request.id.value());
    if (!m_context.sessionToken.empty()) {
        m_response.set("X-Session-Token", m_context.sessionToken);
    }
    m_out = &m_response.send();
}

void CallerSink::writeEvent(const std::string &json)
{
    if (m_callerGone) {
        return;
    }
    *m_out << "data: " << json << "\n\n" << std::flush;
    m_callerGone = !*m_out;
}

bool CallerSink::onDelta(const std::string &text)
{
    if (!begun()) {
        begin();
    }
    writeEvent(chunk(m_context, {{"content", text}}, nullptr));
    // A caller that sent an idempotency key can retry and then receives the whole response.
    return !m_callerGone || !m_context.request.idempotencyKey.empty();
}

void CallerSink::finish(const FinishedAnswer &answer, bool replayed)
{
    if (replayed || !begun()) {
        onDelta(answer.text);
    }
    writeEvent(chunk(m_context, nlohmann::json::object(), "stop"));
    writeEvent("[DONE]");
}

void CallerSink::fail(const std::string &errorJson)
{
    writeEvent(errorJson);
}

} // namespace lycheearch
