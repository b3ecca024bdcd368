#pragma once

#include <memory>
#include <random>
#include <string>

#include "Base/Endpoint.h"
#include "GuaranteeChecker.h"
#include "Net/HttpParser.h"
#include "Net/StreamSocket.h"

namespace lycheearch::soak {

/// Simulates one caller: sends requests to one daemon, one after the other, on a keep-alive
/// connection, and checks each answer. Reconnects when the connection breaks or the daemon closes
/// it. Some requests are abandoned before their answer.
class SimulatedCaller : public StreamSocketListener, public HttpResponseSink
{
public:
    SimulatedCaller(EventLoop &loop, Endpoint daemon, std::string name, GuaranteeChecker &checker,
                    std::mt19937_64 &random);
    ~SimulatedCaller() override;

    void start();
    /// Like start(), but sends one request again and again that ends the server that runs it.
    void startCrashing();
    void stop();

private:
    void onConnected(TimePoint) override { }
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code, TimePoint now) override { dropConnection(now); }
    void onResponseHead(HttpResponseHead head) override { m_head = std::move(head); }
    void onResponseBody(std::string_view bytes) override { m_body.append(bytes); }

    void scheduleRequest(Duration pause);
    void sendRequest(TimePoint now);
    void onAnswer(TimePoint now);
    void checkBody();
    void dropConnection(TimePoint now);
    void closeSocket();

    EventLoop &m_loop;
    Endpoint m_daemon;
    std::string m_name;
    GuaranteeChecker &m_checker;
    std::mt19937_64 &m_random;
    std::unique_ptr<StreamSocket> m_socket;
    std::unique_ptr<HttpResponseParser> m_parser;
    std::string m_input;
    HttpResponseHead m_head;
    std::string m_body;
    std::string m_id;
    RequestKind m_kind = RequestKind::Idempotent;
    int m_requestCount = 0;
    bool m_awaitingAnswer = false;
    bool m_stopped = true;
    bool m_crashing = false;
    TimerId m_sendTimer;
    TimerId m_answerTimer;
};

} // namespace lycheearch::soak
