#pragma once

#include <map>
#include <vector>

#include "Base/Ids.h"
#include "State/BillRecord.h"

namespace lycheearch {

/// Totals of one client account.
struct AccountTotal
{
    std::int64_t charges = 0; ///< Number of charges.
    std::int64_t unresolved = 0; ///< Number of calls with an unknown outcome; not in the sums.
    MicroCost cost;
    Tokens tokens;
};

/// Aggregates the billing stream. The first record of a key counts and later ones are duplicates,
/// except that a charge replaces an unresolved bill of the same key.
class Ledger
{
public:
    /// Adds a record of the billing stream. Returns false for a duplicate key and for text that is
    /// not a bill.
    bool add(const std::string &data);

    const std::map<RequestKey, BillRecord> &bills() const { return m_bills; }
    std::map<AccountId, AccountTotal> totals() const;
    std::int64_t duplicates() const { return m_duplicates; }
    std::int64_t malformed() const { return m_malformed; }

private:
    std::map<RequestKey, BillRecord> m_bills;
    std::int64_t m_duplicates = 0;
    std::int64_t m_malformed = 0;
};

} // namespace lycheearch
