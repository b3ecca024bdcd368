#pragma once

#include "Adapters/HttpClient.h"
#include "Adapters/LogService.h"

namespace lycheearch {

/// Client of the platform's log service, over HTTP and JSON. docs/PLATFORM.md describes the
/// messages.
class HttpLogService : public LogService
{
public:
    HttpLogService(Endpoint address, Duration timeout);

    Result<Offset> append(const StreamName &stream,
                          const std::vector<std::string> &records) override;
    Result<LogSlice> read(const StreamName &stream, Offset from, std::size_t maxRecords,
                          Duration wait) override;

private:
    HttpClient m_client;
    Duration m_timeout;
};

} // namespace lycheearch
