#include "Daemon/ChatStreamWriter.h"

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

ChatStreamWriter::ChatStreamWriter(Poco::Net::HTTPServerResponse &response,
                                   const RequestContext &context)
    : m_response(response)
    , m_context(context)
{
}

void ChatStreamWriter::begin()
{
    m_response.setChunkedTransferEncoding(true);
    m_response.setContentType("text/event-stream");
    m_response.set("X-Request-Id", m_context.request.id.value());
    if (!m_context.sessionToken.empty()) {
        m_response.set("X-Session-Token", m_context.sessionToken);
    }
    m_out = &m_response.send();
}

void ChatStreamWriter::writeEvent(const std::string &json)
{
    if (m_callerDisconnected) {
        return;
    }
    *m_out << "data: " << json << "\n\n" << std::flush;
    m_callerDisconnected = !*m_out;
}

bool ChatStreamWriter::onDelta(const std::string &text)
{
    if (!begun()) {
        begin();
    }
    writeEvent(chunk(m_context, {{"content", text}}, nullptr));
    // A caller that sent an idempotency key can retry and then receives the whole response.
    return !m_callerDisconnected || !m_context.request.idempotencyKey.empty();
}

void ChatStreamWriter::finish(const RequestResult &result, bool replayed)
{
    if (replayed || !begun()) {
        onDelta(result.text);
    }
    writeEvent(chunk(m_context, nlohmann::json::object(), "stop"));
    writeEvent("[DONE]");
}

void ChatStreamWriter::fail(const std::string &errorJson)
{
    writeEvent(errorJson);
}

} // namespace lycheearch
