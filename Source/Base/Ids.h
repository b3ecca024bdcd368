#pragma once

#include "Base/StrongTypes.h"

namespace lycheearch {

using AccountId = StringId<struct AccountTag>; ///< A client account.
using InstanceId = StringId<struct InstanceTag>; ///< A daemon instance or a backend server.
using DataCentreId = StringId<struct DataCentreTag>; ///< A data centre.
using ModelId = StringId<struct ModelTag>; ///< A model family that callers name.
using VersionId = StringId<struct VersionTag>; ///< One version of a model or a service.
using ServiceId = StringId<struct ServiceTag>; ///< A service that backend servers provide.
using OperationName = StringId<struct OperationNameTag>; ///< An operation of a plain service.
using TaskClass = StringId<struct TaskClassTag>; ///< A class of requests of similar difficulty.
using RequestId = StringId<struct RequestTag>; ///< One request as sent by a caller.
using SessionId = StringId<struct SessionTag>; ///< A conversation pinned to one version.
using IdempotencyKey = StringId<struct IdempotencyTag>; ///< Set by the caller, or generated.
using RequestKey = StringId<struct RequestKeyTag>; ///< Account and idempotency key together.
using ClaimId = StringId<struct ClaimTag>; ///< One attempt to claim a request key.
using OperationId = StringId<struct OperationIdTag>; ///< One operator action.
using StartId = StringId<struct StartTag>; ///< One run of a process.
using StreamName = StringId<struct StreamTag>; ///< A stream of the log service.

using Offset = Quantity<struct OffsetTag>; ///< Position of a record in a log stream.
/// Counts how often the log store came back from an older copy. Offsets are comparable within one
/// era only.
using StoreEra = Quantity<struct StoreEraTag>;
using Revision = Quantity<struct RevisionTag>; ///< Log offset of the last applied record, plus one.
using MicroCost = Quantity<struct MicroCostTag>; ///< Millionths of the deployment's currency.
using Tokens = Quantity<struct TokensTag>; ///< Generated tokens.

} // namespace lycheearch
