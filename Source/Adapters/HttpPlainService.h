#pragma once

#include "Adapters/BackendTimeouts.h"
#include "Adapters/ConnectionPool.h"
#include "Adapters/PlainService.h"

namespace lycheearch {

/// Client of plain services, over HTTP and JSON. docs/PLATFORM.md describes the messages.
class HttpPlainService : public PlainService
{
public:
    HttpPlainService(BackendTimeouts timeouts, ConnectionPool &pool, const Clock &clock);

    Result<BackendReport> report(const Endpoint &address) override;
    Result<std::string> call(const BackendTarget &target, const ServiceCall &call,
                             TimePoint now) override;

private:
    BackendTimeouts m_timeouts;
    ConnectionPool &m_pool;
    const Clock &m_clock;
};

} // namespace lycheearch
