#pragma once

#include <string>

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// An answer to be rated.
struct RatingRequest
{
    RequestId request;
    VersionId version;
    TaskClass taskClass;
    std::string prompt;
    std::string answer;
};

/// Rates answers. A failure says nothing about the answer.
class RatingService
{
public:
    virtual ~RatingService() = default;
    /// Returns the quality of the answer, 0 (useless) to 1 (faultless).
    virtual Result<double> rate(const RatingRequest &request) = 0;
};

} // namespace lycheearch
