#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::trial {

/// Kinds of requests that callers send.
enum class CallKind { Chat, Lookup, Booking };

/// One attempt of a caller to send a request to a daemon.
struct AttemptRecord
{
    std::string requestId;
    std::string daemon;
    int status = 0; ///< HTTP status; 0: the connection failed or the answer is incomplete.
    std::string code; ///< Error code of the answer; empty if it has none.
    std::string run; ///< Run state that an error answer reports, such as not_run; may be empty.
    bool connected = false; ///< The TCP connection was established.
    std::int64_t startMicroseconds = 0; ///< Wall-clock time since the Unix epoch.
};

/// A request of a caller, its attempts and its outcome.
struct RequestRecord
{
    CallKind kind = CallKind::Chat;
    std::string account;
    std::string key; ///< Idempotency key; empty if the request has none.
    std::string nonce; ///< Unique text in the request that the answer must repeat.
    std::string session;
    std::string service;
    std::string operation;
    std::string model;
    bool stream = false;
    std::int64_t tokens = 0;
    std::vector<AttemptRecord> attempts;
    bool answered = false; ///< An answer with status 200 was received to its end.
    bool answerCorrect = false; ///< The answer is complete and belongs to this request.
    std::string version;
    Duration latency{}; ///< From the scheduled arrival to the last byte.
    /// From the scheduled arrival to the first byte of the answer; of a stream, to its first token.
    Duration firstByte{};
    std::int64_t endMicroseconds = 0; ///< Wall-clock time since the Unix epoch.
};

const char *callKindName(CallKind kind);

} // namespace lycheearch::trial
