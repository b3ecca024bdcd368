#pragma once

#include <optional>
#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Kind of a bill: a charge, or a call with an unknown outcome, which costs nothing until it is
/// resolved from the records of the service.
enum class BillKind { Charge, Unresolved };

/// A record of the billing stream. The key depends on the request only, so that readers recognise
/// duplicates of a bill that was appended more than once.
struct BillRecord
{
    RequestKey key;
    AccountId account;
    RequestId request;
    std::string subject; ///< The version, or "service/operation", that ran.
    MicroCost cost;
    Tokens tokens;
    BillKind kind = BillKind::Charge;
};

/// Encodes a bill as JSON text.
std::string encodeBill(const BillRecord &bill);
/// Decodes the text of encodeBill(). Returns std::nullopt if \p text is not a bill.
std::optional<BillRecord> decodeBill(const std::string &text);

} // namespace lycheearch
