#pragma once

#include <string>

#include "Adapters/Backend.h"
#include "Config/Manifest.h"

namespace lycheearch {

/// A request to generate an answer, or to resume an incomplete one.
struct EngineRequest
{
    RequestId request;
    VersionId version;
    std::string prompt; ///< The caller's messages as JSON text.
    Priority priority = Priority::Normal;
    Tokens maxTokens{1024};
    Tokens resumeFrom; ///< Number of tokens that the caller already has.
    TimePoint deadline;
};

/// Receives the text of an answer piece by piece, in order.
class DeltaSink
{
public:
    virtual ~DeltaSink() = default;
    /// Returns false to cancel the generation, for example because the caller disconnected.
    virtual bool onDelta(const std::string &text) = 0;
};

/// How a generation ended.
struct EngineOutcome
{
    Tokens generated; ///< Position reached, from the start of the answer.
    bool complete = false; ///< The end event of the request was received.
    bool cancelled = false; ///< The sink cancelled the generation.
    Status failure; ///< Why the answer is neither complete nor cancelled.
};

/// Whether an engine loads or unloads a version.
enum class OrderKind { Load, Unload };

/// A command to an engine to load or unload a version.
struct EngineOrder
{
    OrderKind kind = OrderKind::Load;
    VersionId version;
    Offset fencingToken; ///< Fencing token of the order lease.
};

/// Interface to model engines, independent of their protocol.
class ModelEngine
{
public:
    virtual ~ModelEngine() = default;

    /// Reads the load report of an engine. Fails with BackendBroken.
    virtual Result<BackendReport> report(const Endpoint &address) = 0;

    /// Runs a generation. Passes each piece of text to \p sink as it arrives, after checking that
    /// it belongs to the request and that none is missing or repeated. Reports failures in the
    /// outcome.
    virtual EngineOutcome generate(const BackendTarget &target, const EngineRequest &request,
                                   DeltaSink &sink, TimePoint now) = 0;

    /// Sends a load or unload order. Fails with BackendFailed if the engine refuses it, and with
    /// PlatformUnavailable if the engine cannot be reached.
    virtual Status order(const Endpoint &address, const EngineOrder &order) = 0;
};

} // namespace lycheearch
