#pragma once

#include <memory>

#include "Adapters/BackendTimeouts.h"
#include "Adapters/ConnectionPool.h"
#include "Adapters/ModelEngine.h"

namespace lycheearch {

/// Client of model engines, over HTTP with a stream of server-sent events. docs/PLATFORM.md
/// describes the messages.
class HttpModelEngine : public ModelEngine
{
public:
    HttpModelEngine(BackendTimeouts timeouts, ConnectionPool &pool, const Clock &clock);

    Result<BackendReport> report(const Endpoint &address) override;
    EngineOutcome generate(const BackendTarget &target, const EngineRequest &request,
                           DeltaSink &sink, TimePoint now) override;
    Status order(const Endpoint &address, const EngineOrder &order) override;

private:
    EngineOutcome readStream(HttpResponseReader &response, BackendConnection &connection,
                             const EngineRequest &request, DeltaSink &sink) const;

    BackendTimeouts m_timeouts;
    ConnectionPool &m_pool;
    const Clock &m_clock;
};

} // namespace lycheearch
