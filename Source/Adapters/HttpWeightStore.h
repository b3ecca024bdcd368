#pragma once

#include "Adapters/HttpClient.h"
#include "Adapters/WeightStore.h"

namespace lycheearch {

/// Client of the platform's weight store, over HTTP and JSON. docs/PLATFORM.md describes the
/// messages.
class HttpWeightStore : public WeightStore
{
public:
    HttpWeightStore(Endpoint address, Duration timeout);
    Status reserveLoad(const VersionId &version) override;

private:
    HttpClient m_client;
};

} // namespace lycheearch
