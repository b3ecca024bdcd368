#pragma once

#include "Base/Error.h"
#include "Base/Ids.h"

namespace lycheearch {

/// Holds the weights that engines load. It allows a limited rate.
class WeightStore
{
public:
    virtual ~WeightStore() = default;
    /// Asks for leave to load \p version now. A refusal tells when to ask again.
    virtual Status reserveLoad(const VersionId &version) = 0;
};

} // namespace lycheearch
