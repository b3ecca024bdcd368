#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::trial {

/// Kinds of requests that callers send.
enum class CallKind { Chat, Lookup, Booking };

/// One try of a caller at one daemon.
struct AttemptRecord
{
    std::string requestId;
    std::string daemon;
    int status = 0; ///< Zero: the connection failed.
    std::string code; ///< Error code, if any.
    std::string run; ///< Run state, if any.
    bool connected = false;
    std::int64_t startMicroseconds = 0; ///< Calendar time.
};

/// What a caller asked for and what came of it.
struct RequestRecord
{
    CallKind kind = CallKind::Chat;
    std::string account;
    std::string key;
    std::string nonce;
    std::string session;
    std::string service;
    std::string operation;
    std::string model;
    bool stream = false;
    std::int64_t tokens = 0;
    std::vector<AttemptRecord> attempts;
    bool answered = false;
    bool whole = false; ///< The answer is complete and the caller's own.
    std::string version;
    Duration latency{}; ///< From the scheduled arrival to the last byte.
    Duration firstByte{}; ///< From the scheduled arrival to the first byte of the answer.
    std::int64_t endMicroseconds = 0; ///< Calendar time.
};

const char *callKindName(CallKind kind);

} // namespace lycheearch::trial
