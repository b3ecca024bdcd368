#pragma once

#include <string>

#include "Config/Manifest.h"
#include "OwnFormats/Backend.h"

namespace lycheearch {

/// One generation, or the rest of one.
struct EngineRequest
{
    RequestId request;
    VersionId version;
    std::string prompt; ///< The caller's messages as JSON text.
    Priority priority = Priority::Normal;
    Tokens maxTokens{1024};
    Tokens resumeFrom; ///< Tokens that the caller already has.
    TimePoint deadline;
};

/// Receives the parts of an answer in order.
class DeltaSink
{
public:
    virtual ~DeltaSink() = default;
    /// Returns false if nobody waits for the answer any longer.
    virtual bool onDelta(const std::string &text) = 0;
};

/// End of a generation.
struct EngineOutcome
{
    Tokens generated; ///< Position reached, counted from the start of the answer.
    bool complete = false; ///< The end mark was seen and belongs to the request.
    bool cancelled = false; ///< The sink asked to stop.
    Status failure; ///< Why it is not complete.
};

/// What an engine may be told to do.
enum class OrderKind { Load, Unload };

struct EngineOrder
{
    OrderKind kind = OrderKind::Load;
    VersionId version;
    Offset fence; ///< Fencing number of the order lease.
};

/// A model engine, reached through its own protocol.
class ModelEngine
{
public:
    virtual ~ModelEngine() = default;

    virtual Result<BackendReport> report(const Endpoint &address) = 0;

    /// Runs a generation. Parts reach \p sink as they arrive, each belonging to the request and
    /// following the one before. Never throws.
    virtual EngineOutcome generate(const BackendTarget &target, const EngineRequest &request,
                                   DeltaSink &sink, TimePoint now) = 0;

    virtual Status order(const Endpoint &address, const EngineOrder &order) = 0;
};

} // namespace lycheearch
