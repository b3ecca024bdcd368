#pragma once

#include <optional>
#include <string>

#include "Adapters/ModelEngine.h"
#include "Config/ConfigState.h"
#include "Routing/Planner.h"
#include "State/ClaimTable.h"
#include "State/SessionDirectory.h"

namespace lycheearch {

enum class RequestKind { Chat, Service };

/// A request as received from the caller. Only its syntax has been checked.
struct CallerRequest
{
    RequestKind kind = RequestKind::Chat;
    std::string bearerKey;
    RequestId id; ///< Generated if the caller sent none.
    IdempotencyKey idempotencyKey; ///< Empty if the caller sent none.
    SessionId session;
    std::string sessionToken;
    TimePoint deadline;

    ModelId model; ///< Chat only.
    TaskClass taskClass; ///< Chat only; the model's name if the caller sent none.
    std::string prompt; ///< Chat only: the messages as JSON text.
    bool stream = false; ///< Chat only.
    Tokens maxTokens{1024}; ///< Chat only.

    ServiceId service; ///< Plain services only.
    OperationName operation; ///< Plain services only.
    std::string body; ///< Plain services only.
};

/// The result of a request, successful or not. It is returned again to a repeat of the request.
struct RequestResult
{
    std::string text; ///< Generated text, or the response body of the service.
    Tokens tokens;
    VersionId version; ///< Chat only: the version that generated the text.
    std::string bodyHash; ///< Hash of the request, to detect a key reused for another request.
    Status failure; ///< Set if the request failed.
};

/// Encodes a result as JSON text.
std::string encodeRequestResult(const RequestResult &result);
/// Decodes the text of encodeRequestResult(). Returns std::nullopt if \p text is malformed.
std::optional<RequestResult> decodeRequestResult(const std::string &text);

/// State of one request, shared by the filters of the pipeline. The comment of a field names the
/// filter that sets it.
struct RequestContext
{
    CallerRequest request;
    TimePoint arrivedAt;
    DeltaSink *stream = nullptr; ///< Receives the text while it is generated; may be null.

    ConfigStatePtr config; ///< Authenticate: the configuration in force at arrival.
    AccountSpec account; ///< Authenticate.
    OperationSpec operation; ///< Admit: plain services only.
    Priority priority = Priority::Normal; ///< Admit.
    RequestKey key; ///< Deduplicate.
    std::string bodyHash; ///< Deduplicate.
    ClaimId claim; ///< Deduplicate: empty if the request needed no claim.
    bool registeredInFlight = false; ///< Deduplicate: it is in the in-flight table.
    SessionKey sessionKey; ///< PinSession: key of the session's pin.
    std::optional<VersionId> sessionVersion; ///< PinSession, or Plan for a new session.
    std::string sessionToken; ///< PinSession and Plan: returned to the caller.
    Plan plan; ///< Plan.
    /// Deduplicate: hash of the key, uniform in [0, 1). The same for every repeat of the request.
    double hashFraction = 0;

    std::optional<RequestResult> result; ///< Dispatch, or Deduplicate for a repeat.
    bool replayed = false; ///< Deduplicate: the request is a repeat of an earlier one.
    bool streamed = false; ///< Unused.
    MicroCost charge; ///< Dispatch: price of the request.
    std::string subject; ///< Dispatch: the version, or "service/operation", that ran.
};

} // namespace lycheearch
