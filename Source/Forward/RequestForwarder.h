#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Forward/BackendHttpConnection.h"
#include "Forward/EventSplitter.h"
#include "Forward/ForwardContext.h"
#include "Forward/ReadPause.h"
#include "Forward/RelayFields.h"
#include "Forward/ResponseWriter.h"
#include "Forward/StreamContinuity.h"
#include "Routing/ExecutionState.h"
#include "Routing/HedgePolicy.h"

namespace lycheearch {

/// Forwards one complete request of a caller: admits it, chooses a backend server, sends the
/// request and relays the response. If the backend server fails, refuses the request, stalls or
/// closes the connection early, the request is retried on another one if it cannot have been
/// executed or if its route is retryable, and if the deadline, the maximum number of attempts and
/// the retry budget allow it. A server that no connection can be opened to counts neither as an
/// attempt nor against the retry budget. If this daemon does not reach the servers, the request is
/// passed to another daemon.
///
/// The statuses 408, 421, 429 and 503 tell the caller that the request was not executed. They are
/// sent only if no attempt can have executed the request. A refusal of a backend server counts as
/// proof only if it is certain to answer the attempt under way: it names the request, or nothing
/// else was ever sent on its connection.
class RequestForwarder : public BackendResponseListener, private AdmissionWaiter
{
public:
    RequestForwarder(ForwardContext &context, ResponseWriter &writer, DecodedRequest request,
                     SharedBody body, TimePoint receivedAt);
    ~RequestForwarder() override;

    /// Starts to forward the request. The response may be complete when this returns.
    void start(TimePoint now);
    /// Cancels the request, for example when the caller has disconnected. Sends no response.
    void cancel(TimePoint now);
    /// Ends the request now, with the response that its outcome so far allows. A stream that has
    /// begun is cut off.
    void giveUp(const char *cause, TimePoint now);
    /// The caller of a stream reads again, after ResponseWriter::callerBlocked() was true.
    void onCallerReads(TimePoint now);
    bool finished() const { return m_finished; }

private:
    /// Failed connections after which the request fails, and the same for one that another daemon
    /// passed on: a third daemon may reach the servers.
    static constexpr int MaxConnectFailures = 4;
    static constexpr int MaxConnectFailuresRelayed = 2;

    /// State of the latest attempt at a backend server.
    struct Attempt
    {
        InstanceId backend; ///< The other daemon, if the request was passed to one.
        bool relayed = false; ///< The request was passed to another daemon.
        RelayedResponse relayResult; ///< What that daemon told.
        int peerMaxAttempts = 0; ///< Attempts in all up to which that daemon may go.
        std::uint64_t server = 0; ///< Hash of the server's id and start time.
        VersionId version;
        double prefillTokens = 0; ///< Weighted prompt tokens that the server must prefill.
        /// prefillTokens plus the estimated backlog ahead of them, in tokens of a usual server.
        double workTokens = 0;
        double slowness = 1; ///< Of the server, as expected; included in workTokens.
        std::unique_ptr<BackendHttpConnection> connection;
        HttpResponseHead head;
        ResponseMetadata metadata;
        std::string body;
        std::size_t reservedBytes = 0; ///< Of the response budget, for the body.
        EventSplitter splitter;
        bool headReceived = false;
        bool streaming = false;
        bool newConnection = false;
        bool discarded = false; ///< The response is replaced by that of a larger model.
        RolloutCounts::Ticket ticket = 0;
        TimePoint sentAt;
        TimePoint headAt; ///< When the head of the response was received.
        TimePoint firstEventAt;
        int relayedEvents = 0; ///< Number of events sent to the caller.
        TimerId stallTimer;
        TimerId lateTimer;
        LatencyTracker::Ticket latency = 0; ///< Until the first event or the whole answer.
        std::optional<UsualLatency> usual; ///< Latency of such requests when it was sent.
        ReadPause pause; ///< For the caller's sake.
    };

    void onConnected(TimePoint now) override;
    Verdict onResponseStarted(const HttpResponseHead &head, TimePoint now) override;
    void onInterimResponse(const HttpResponseHead &head, TimePoint now) override;
    void onResponseData(std::string_view bytes, TimePoint now) override;
    void onResponseComplete(TimePoint now) override;
    void onConnectionLost(Delivery delivery, std::error_code error, TimePoint now) override;

    /// Whether the response belongs to this request. One that does not may be an earlier response
    /// that the server wrote once more.
    bool isOwnResponse(const ResponseMetadata &metadata) const;
    /// How long a connection to a backend server may have been idle to be used.
    Duration maxIdle() const;
    bool admit(TimePoint now);
    bool authenticate(TimePoint now);
    void dispatch(TimePoint now);
    /// Whether the first attempt may be sent now. Otherwise the request waits or is refused.
    bool passesAdmission(const Pick &pick, const PickRequest &requirements, TimePoint now);
    void leaveAdmission();
    void onAdmissionTurn(TimePoint now) override { dispatch(now); }
    void onAdmissionRefused(const char *cause, Duration retryAfter, TimePoint now) override;
    PickRequest pickRequest(TimePoint now) const;
    /// Whether the response begins a stream, or goes on with the one that has begun.
    bool isStream(const HttpResponseHead &head, const ResponseMetadata &metadata);
    /// Adds to the body of a response that is not streamed.
    void collectBody(std::string_view bytes, TimePoint now);
    /// Applies what a backend server announced about itself in a response.
    void applyNotices(const InstanceId &backend, const ResponseMetadata &metadata, TimePoint now);
    /// Applies the rate limit that the backend server stated, or that it stated none. Only a
    /// complete head of a success can end a limit.
    void applyRateLimit(const ResponseMetadata &metadata, bool canEndLimit, TimePoint now);
    /// Applies what the backend server stated on the rejections that it bears, in the same way.
    void applyBrittle(const ResponseMetadata &metadata, bool canEnd, TimePoint now);
    /// Time after which the caller may repeat the refused request.
    Duration retryAfter(const PickRequest &requirements, PickFault fault, TimePoint now) const;
    /// Hashes what may crash servers: the parts of the prompt and the whole request.
    void hashContent();
    /// Fails the request if it or a part of its prompt crashes servers. Returns whether it did.
    bool refuseCrashingRequest(TimePoint now);
    void logCrashingRefused(const char *event, const char *field, std::uint64_t hash,
                            TimePoint now);
    /// Records that the backend server of the attempt was reached.
    void recordReached();
    /// Records that the request was served.
    void recordServed(TimePoint now);
    /// Records that the connection was lost: the server may have ended because of the request.
    void recordConnectionLost(TimePoint now);
    /// Logs an answer that broke off after its head, with the parts of the prompt.
    void logBrokenOff(TimePoint now);
    /// Whether the attempt says that the server's version works; std::nullopt if it says nothing.
    /// That is so for one that reaches the deadline without an answer: its wait is evidence, but
    /// the deadline is the caller's. It is so for one that was sent elsewhere because it was late,
    /// unless its server gave no answer at all for the time of the latency objective. It is also so
    /// for a retry, since requests that failed before fail more often than others, whatever the
    /// version.
    std::optional<bool> versionOutcome(SendOutcome outcome, TimePoint now) const;
    std::optional<Duration> latencySample(TimePoint now) const;
    double unansweredTokens() const;
    int urgency() const;
    double tokenWeight() const;
    /// Work that takes equally long at equal servers.
    const std::string &speedKind() const { return m_model.empty() ? m_route->name : m_model; }
    int maxConnectFailures() const;
    bool openConnection(const Pick &pick, TimePoint now);
    void send(const Pick &pick, const PickRequest &requirements, TimePoint now);
    void logDispatch(const Pick &pick, TimePoint now);

    /// Whether the request can be passed to another daemon.
    bool mayRelay(TimePoint now) const;
    /// Whether it should be, rather than be sent to a backend server.
    bool shouldRelay(TimePoint now) const;
    /// Passes the request to another daemon. Returns false if there is none.
    bool relay(TimePoint now);
    void sendToPeer(TimePoint now);
    /// Attempts made if the other daemon is given up: it may have made all that it was allowed.
    int attemptsIfPeerIsLost() const;
    void onPeerResponseStarted(TimePoint now);
    void handlePeerResponse(TimePoint now);
    void onPeerLost(Delivery delivery, std::error_code error, TimePoint now);
    static PeerOutcome peerOutcome(SendOutcome outcome);
    void endRelay(PeerOutcome outcome, bool keepConnection, TimePoint now);
    Duration relayStallLimit() const;
    /// Fails a request of another daemon if this one does not reach the servers. Returns whether it
    /// did.
    bool declinesRelayed(TimePoint now);
    /// Fails the request; if it came from another daemon, that one may try a third.
    void decline(const char *cause, TimePoint now);
    /// Adds what the daemon that passed the request on needs to know.
    void addRelayResult(const InstanceId &backend, HttpFields &fields) const;

    double expectedEvents() const;
    bool escalate(TimePoint now);
    void logCascadeChoice(bool escalated, const std::string &smaller,
                          const EscalationInput &escalationInput,
                          const EscalationDecision &decision, TimePoint now);
    void setModel(std::string model);
    void handlePlainResponse(TimePoint now);
    /// Keeps the error response for the caller, in case no other attempt succeeds.
    void keepErrorResponse();
    void handleStreamEnd(TimePoint now);
    void relayEvents(const std::vector<StreamEvent> &events, TimePoint now);
    /// Sends events to the caller. \p begun: the stream had begun before them.
    void relayBytes(const std::string &bytes, bool begun, int eventCount, TimePoint now);
    void endAttempt(SendOutcome outcome, bool keepConnection, TimePoint now);
    void retryOrFail(const char *cause, TimePoint now);
    bool mayRetry(TimePoint now) const { return mayRetryAfter(m_attemptCount, now); }
    /// Whether the request may be sent again if \p attempts were made.
    bool mayRetryAfter(int attempts, TimePoint now) const;
    /// Largest number of attempts, those of other daemons included.
    int maxAttempts() const;
    /// \p may: all but the retry budget allows a retry.
    void logRetryDecision(const char *cause, bool may, bool retries, TimePoint now);

    /// After a write to the caller: rests reading from the server if the caller does not read.
    void followCaller(TimePoint now);
    /// The server cut off a response that remained unread.
    void onUnreadCutOff(TimePoint now);
    void startStallTimer(TimePoint now);
    Duration stallLimit() const;
    void onStall(TimePoint now);
    void onDeadline(TimePoint now);

    LatencyKind latencyKind() const;
    /// Measures the latency of the attempt, and starts the timer that calls onLate().
    void watchLateness(TimePoint now);
    /// The answer of the attempt came, or its first event.
    void recordAnswered(TimePoint now);
    void endLatenessWatch(SendOutcome outcome, TimePoint now);
    void startLateTimer(TimePoint at);
    /// Sends the request to another server if nothing speaks against it.
    void onLate(TimePoint now);
    /// The input of the decision on a late request, without another server.
    HedgeInput hedgeInput(TimePoint now) const;
    std::optional<HedgeTarget> hedgeTarget(TimePoint now);
    HedgeRefusal refusesHedge(TimePoint now);
    void logMove(const char *event, TimePoint now);

    void sendBackendResponse(TimePoint now);
    void fail(const char *cause, TimePoint now);
    void sendLocalResponse(int status, const char *cause, TimePoint now,
                           std::optional<Duration> retryAfter = std::nullopt);
    void finish(int status, const char *cause, TimePoint now);

    ForwardContext &m_context;
    ResponseWriter &m_writer;
    DecodedRequest m_request;
    SharedBody m_body;
    std::shared_ptr<const RoutingTable> m_table;
    const Route *m_route = nullptr;
    AccountId m_account;
    int m_priority = 0; ///< 0 is the highest.
    ServiceId m_service;
    std::string m_model;
    std::uint64_t m_sessionHash = 0;
    bool m_failedBefore = false; ///< An attempt counted as a failure of its server's version.
    std::uint64_t m_affinity = 0;
    std::int64_t m_sharedTokens = 0; ///< Prompt tokens that other requests may share.
    bool m_runsModels = false;
    std::uint64_t m_accountHash = 0;
    std::vector<std::uint64_t> m_sharedParts; ///< Hashes of the prompt's parts but the last.
    RequestIdentity m_identity; ///< What stays the same when the request comes again.

    TimePoint m_receivedAt;
    TimePoint m_deadline;
    TimerId m_deadlineTimer;
    Attempt m_attempt;
    bool m_inAttempt = false;
    std::set<InstanceId> m_triedBackends;
    std::set<InstanceId> m_unreachableBackends;
    int m_attemptCount = 0; ///< Attempts that may have reached a backend server.
    int m_connectFailures = 0;
    std::set<InstanceId> m_triedPeers;
    bool m_noPeerLeft = false;
    bool m_relayAdmitted = false; ///< Counts in RelayAdmission.
    bool m_declined = false; ///< Another daemon may serve the request that came from one.
    Duration m_expectedFirst{}; ///< Time to the first event, as expected at the admission.
    Duration m_retryAfter; ///< Retry-After of a refusal.
    ExecutionState m_execution;
    /// Latest error response of a backend server, sent if no retry succeeds. A response whose
    /// status implies that the request was not executed is not kept.
    std::optional<HttpResponseHead> m_errorHead;
    std::string m_errorBody;
    StreamContinuity m_stream;
    std::int64_t m_eventCount = 0;
    TimePoint m_firstByteAt;
    Duration m_longestGap{};
    TimePoint m_lastEventAt;
    bool m_finished = false;
};

} // namespace lycheearch
