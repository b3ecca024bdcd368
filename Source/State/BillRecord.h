#pragma once

#include <optional>
#include <string>

#include "Base/Ids.h"

namespace lycheearch {

/// Whether a bill is a charge, or a call whose outcome is not known and that costs nothing until
/// the service's own records settle it.
enum class BillKind { Charge, Unresolved };

/// One entry of the ledger. Its key is derived from the request alone, so that copies that reach
/// the log more than once are folded into one.
struct BillRecord
{
    RequestKey key;
    AccountId account;
    RequestId request;
    std::string subject; ///< Versions or operation that ran.
    MicroCost cost;
    Tokens tokens;
    BillKind kind = BillKind::Charge;
};

std::string encodeBill(const BillRecord &bill);
std::optional<BillRecord> decodeBill(const std::string &text);

} // namespace lycheearch
