#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Ids.h"
#include "Base/Time.h"
#include "Forward/RelayFields.h"
#include "Net/HttpHead.h"

namespace lycheearch {

/// A part of a prompt. Prompts that begin with the same parts can share the cached prefill of these
/// parts.
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

/// Memory that the parts of a prompt take, in bytes.
inline std::size_t memoryBytes(const std::vector<PromptPart> &prompt)
{
    std::size_t bytes = prompt.capacity() * sizeof(PromptPart);
    for (const PromptPart &part : prompt) {
        bytes += part.id.size();
    }
    return bytes;
}

/// A request of a caller, decoded from its header fields.
struct DecodedRequest
{
    /// As received, without hop-by-hop fields and those that only the router may set.
    HttpRequestHead head;
    std::string host;
    RequestId id;
    std::string apiKey;
    std::optional<Duration> timeLeft; ///< How long the caller waits for the response.
    SessionId session;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< Upper limit.
    std::optional<std::int64_t> expectedTokens; ///< The caller's estimate of the output tokens.
    std::vector<PromptPart> prompt;
    std::optional<std::int64_t> lastEventId; ///< The stream resumes after it.
    std::optional<RelayedRequest> relayed; ///< Set if another daemon passed the request on.
};

/// Header values that the router sets for one attempt at a backend server.
struct DispatchOptions
{
    InstanceId target;
    AccountId account; ///< Empty if the route requires no API key.
    Duration timeLeft{};
    std::string model; ///< If empty, the model that the caller requested.
    std::optional<std::int64_t> lastEventId;
    std::optional<int> enginePriority; ///< 0 is the highest.
    std::optional<Endpoint> cacheSource; ///< Engine to copy cached prompt parts from, if any.
};

/// Load of a backend server, as it reports it with a response: how many requests run and wait
/// there, and how many slots it has.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes on the server's host now, 1 is usual; std::nullopt if it is not told.
    std::optional<double> hostSlowness;
};

/// Header values of a backend server's response.
struct ResponseMetadata
{
    std::string requestId; ///< Empty if the response has no request id.
    bool hasSeal = false; ///< Has the Response-Seal field; its value is not verified here.
    bool notExecuted = false; ///< The backend server did not execute the request and never will.
    std::optional<ReportedLoad> load;
    /// The text of a load of which some figure can't be read; empty otherwise.
    std::string unreadableLoad;
    std::optional<int> confidence; ///< The model's confidence in its response, 0 to 100.
    bool leaving = false; ///< The backend server is about to stop and wants no new requests.
    /// Requests per second that the backend server takes from all daemons together, if it names a
    /// limit; never negative.
    std::optional<double> rateLimit;
    /// The text of a rate limit that is not a decimal number; empty otherwise.
    std::string unreadableRateLimit;
    /// Rejections per second for want of room that the backend server bears, if it says that it
    /// ends beyond them; never negative.
    std::optional<double> maxRejections;
    /// The text of that number if it is not a decimal number; empty otherwise.
    std::string unreadableMaxRejections;
    /// With status 503: how long the backend server wants no requests from this daemon.
    std::optional<Duration> retryAfter;
};

/// Decodes and encodes the header fields of requests and responses. Makes no routing decisions.
class RequestHeaderCodec
{
public:
    virtual ~RequestHeaderCodec() = default;
    virtual DecodedRequest decodeRequest(HttpRequestHead head) const = 0;
    virtual HttpRequestHead encodeRequest(const DecodedRequest &request,
                                          const DispatchOptions &options) const = 0;
    /// The request as another daemon gets it: with the caller's API key and the time that is left.
    virtual HttpRequestHead encodeRelay(const DecodedRequest &request, Duration timeLeft,
                                        std::optional<std::int64_t> lastEventId) const = 0;
    virtual ResponseMetadata decodeResponse(const HttpResponseHead &head) const = 0;
    /// Fields of a response as the caller gets them: without hop-by-hop fields and the length,
    /// which belong to the connection to the backend server.
    virtual HttpFields callerFields(const HttpResponseHead &head) const = 0;
};

} // namespace lycheearch
