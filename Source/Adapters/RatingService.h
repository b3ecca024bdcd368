#pragma once

#include <string>

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// A request to rate an answer.
struct RatingRequest
{
    RequestId request;
    VersionId version;
    TaskClass taskClass;
    std::string prompt;
    std::string answer;
};

/// Rates the quality of answers. A failure implies nothing about the answer.
class RatingService
{
public:
    virtual ~RatingService() = default;
    /// Returns the quality of the answer, from 0 (useless) to 1 (faultless). Fails with
    /// PlatformUnavailable.
    virtual Result<double> rate(const RatingRequest &request) = 0;
};

} // namespace lycheearch
