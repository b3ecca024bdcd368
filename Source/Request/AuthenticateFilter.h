#pragma once

#include "Request/Filter.h"
#include "State/ConfigStore.h"

namespace lycheearch {

/// Finds the client account of a bearer key in the configuration in force.
class AuthenticateFilter : public Filter
{
public:
    explicit AuthenticateFilter(const ConfigStore &config);
    Status apply(RequestContext &context) override;

private:
    const ConfigStore &m_config;
};

} // namespace lycheearch
