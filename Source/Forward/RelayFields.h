#pragma once

#include <optional>
#include <vector>

#include "Base/Ids.h"
#include "Fleet/RoutingConfig.h"
#include "Net/HttpHead.h"

namespace lycheearch {

/// What a daemon that passes a request on to another one tells beside the caller's request. The
/// other daemon admits the request by itself, by the caller's key.
struct RelayedRequest
{
    int attempts = 0; ///< Attempts at backend servers so far.
    std::vector<InstanceId> tried; ///< Servers that must not get the request again.
    /// Configuration by which the first daemon admitted the request. A daemon with an older one
    /// declines it.
    ConfigVersion config;
    /// Attempts in all up to which the other daemon may go; 0 if not stated. The first daemon has
    /// the rest for itself, should it lose the other one without learning how many were made.
    int maxAttempts = 0;
};

/// What the other daemon tells beside its response.
struct RelayedResponse
{
    int attempts = 0; ///< Attempts at backend servers in all.
    InstanceId backend; ///< That the response comes from; empty if from the daemon itself.
    /// The request was not executed, and another daemon may serve it.
    bool declined = false;
};

/// Writes the fields into the head of a request, in place of those that the caller sent.
void addRelayFields(const RelayedRequest &relayed, HttpFields &fields);
void addRelayFields(const RelayedResponse &relayed, HttpFields &fields);
/// Reads the fields and removes them. Fields that are missing or can't be read count as zero or
/// empty.
RelayedRequest takeRelayedRequest(HttpFields &fields);
RelayedResponse takeRelayedResponse(HttpFields &fields);

} // namespace lycheearch
