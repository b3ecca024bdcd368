#pragma once

#include "Adapters/HttpClient.h"
#include "Adapters/RatingService.h"

namespace lycheearch {

/// Client of the platform's rating service, over HTTP and JSON. docs/PLATFORM.md describes the
/// messages.
class HttpRatingService : public RatingService
{
public:
    HttpRatingService(Endpoint address, Duration timeout);
    Result<double> rate(const RatingRequest &request) override;

private:
    Endpoint m_address;
    HttpClient m_client;
};

} // namespace lycheearch
