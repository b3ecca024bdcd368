#pragma once

#include <memory>
#include <random>
#include <string>

#include "Base/Endpoint.h"
#include "GuaranteeChecker.h"
#include "Net/HttpParser.h"
#include "Net/StreamSocket.h"
#include "RestPlan.h"

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
    /// Like start(), but keeps the connection at rest before each further request, near the idle
    /// timeout, and repeats a request that the daemon refused unread. After an announced timeout,
    /// every second request goes to a new connection.
    void startResting(RestPlan &rests);
    void stop();

private:
    void onConnected(TimePoint) override { }
    void onBytes(std::string_view bytes, TimePoint now) override;
    void onEnd(TimePoint now) override;
    void onError(std::error_code, TimePoint now) override;
    void onResponseHead(HttpResponseHead head) override { m_head = std::move(head); }
    void onResponseBody(std::string_view bytes) override { m_body.append(bytes); }

    void scheduleRequest(Duration pause);
    /// Schedules the next request for the end of a rest, a share of the idle timeout of the newest
    /// configuration.
    void rest(TimePoint now);
    /// Sends the request so much later that what the daemon sends meanwhile crosses it.
    void beginCrossing();
    void sendRequest(TimePoint now);
    void onAnswer(TimePoint now);
    void checkBody();
    /// Whether a request was sent on a kept connection, in SoakOptions::idleCallers, and is not
    /// answered.
    bool awaitsOnKeptConnection() const { return m_rests != nullptr && m_awaitingAnswer && m_kept; }
    void onCut(ConnectionEnd end, TimePoint cutAt, TimePoint now);
    /// The daemon has closed the connection, at rest or with the request unread.
    void checkAnnouncedTimeout(TimePoint now);
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
    RestPlan *m_rests = nullptr; ///< Not null in SoakOptions::idleCallers.
    TimePoint m_answeredAt; ///< Begin of the rest.
    double m_restShare = 0; ///< Of the idle timeout.
    Duration m_announcedTimeout{}; ///< In the last answer on the connection; 0: none.
    bool m_kept = false; ///< The connection had carried requests before.
    bool m_repeats = false; ///< The next request is the last one again.
    TimerId m_sendTimer;
    TimerId m_answerTimer;
};

} // namespace lycheearch::soak
