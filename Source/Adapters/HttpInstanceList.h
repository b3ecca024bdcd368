#pragma once

#include "Adapters/HttpClient.h"
#include "Adapters/InstanceList.h"

namespace lycheearch {

/// Client of the platform's instance list, over HTTP and JSON. docs/PLATFORM.md describes the
/// messages.
class HttpInstanceList : public InstanceList
{
public:
    HttpInstanceList(Endpoint address, Duration timeout);
    Result<std::vector<InstanceRecord>> read() override;

private:
    HttpClient m_client;
};

} // namespace lycheearch
