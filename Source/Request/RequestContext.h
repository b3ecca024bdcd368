#pragma once

#include <optional>
#include <string>

#include "Config/ConfigState.h"
#include "OwnFormats/ModelEngine.h"
#include "Routing/Planner.h"
#include "State/ClaimTable.h"
#include "State/SessionDirectory.h"

namespace lycheearch {

enum class RequestKind { Chat, Service };

/// A request as the caller sent it, checked for form only.
struct CallerRequest
{
    RequestKind kind = RequestKind::Chat;
    std::string bearerKey;
    RequestId id; ///< Minted if the caller gave none.
    IdempotencyKey idempotencyKey; ///< Empty if the caller gave none.
    SessionId session;
    std::string sessionToken;
    TimePoint deadline;

    ModelId model; ///< Chat only.
    TaskClass taskClass; ///< Chat only; the model's name if the caller gave none.
    std::string prompt; ///< Chat only: the messages as JSON text.
    bool stream = false; ///< Chat only.
    Tokens maxTokens{1024}; ///< Chat only.

    ServiceId service; ///< Plain services only.
    OperationName operation; ///< Plain services only.
    std::string body; ///< Plain services only.
};

/// The end of a request, good or bad, that a repeat gets again.
struct FinishedAnswer
{
    std::string text; ///< Generated text, or the service's answer.
    Tokens tokens;
    VersionId version; ///< Chat only: the version whose answer it is.
    std::string bodyHash; ///< Of the request, to tell a repeat from another use of the key.
    Status failure; ///< Why there is no text.
};

std::string encodeFinishedAnswer(const FinishedAnswer &answer);
std::optional<FinishedAnswer> decodeFinishedAnswer(const std::string &text);

/// What the filters of the request path know of one request. Each filter adds its part.
struct RequestContext
{
    CallerRequest request;
    TimePoint arrivedAt;
    DeltaSink *stream = nullptr; ///< Receives the answer while it is generated; may be null.

    ConfigStatePtr config; ///< Authenticate: the configuration that the request arrived under.
    AccountSpec account; ///< Authenticate.
    OperationSpec operation; ///< Admit: plain services only.
    Priority priority = Priority::Normal; ///< Admit.
    RequestKey key; ///< Deduplicate.
    std::string bodyHash; ///< Deduplicate.
    ClaimId claim; ///< Deduplicate: empty if none was needed.
    bool registered = false; ///< Deduplicate: entered in the in-flight table.
    SessionKey sessionKey; ///< PinSession: where the version is kept.
    std::optional<VersionId> sessionVersion; ///< PinSession.
    std::string sessionToken; ///< PinSession and Plan: to be returned to the caller.
    Plan plan; ///< Plan.
    double lot = 0; ///< Uniform in 0 to 1, the same for every repeat of the request.

    std::optional<FinishedAnswer> answer; ///< Dispatch, or Deduplicate for a repeat.
    bool replayed = false; ///< The answer is an earlier one.
    bool streamed = false; ///< Parts reached the caller.
    MicroCost charge; ///< Dispatch: what the caller is billed.
    std::string subject; ///< Dispatch: what ran, for the bill.
};

} // namespace lycheearch
