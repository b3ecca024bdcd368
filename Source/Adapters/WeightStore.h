#pragma once

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// Store of the model weights that engines load. It limits the rate of loads.
class WeightStore
{
public:
    virtual ~WeightStore() = default;
    /// Reserves a load of \p version. A refusal is Overloaded and carries the time to wait before
    /// the next attempt; PlatformUnavailable means that the store cannot be reached.
    virtual Status reserveLoad(const VersionId &version) = 0;
};

} // namespace lycheearch
