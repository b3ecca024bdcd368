#pragma once

#include <map>
#include <vector>

#include "Base/Ids.h"
#include "State/BillRecord.h"

namespace lycheearch {

/// Total of one client account.
struct AccountTotal
{
    std::int64_t charges = 0;
    std::int64_t unresolved = 0;
    MicroCost cost;
    Tokens tokens;
};

/// Folds the billing stream: the first record of a key counts, later ones are copies.
class Ledger
{
public:
    /// Returns false for a copy and for text that is no bill.
    bool add(const std::string &data);

    const std::map<RequestKey, BillRecord> &bills() const { return m_bills; }
    std::map<AccountId, AccountTotal> totals() const;
    std::int64_t copies() const { return m_copies; }
    std::int64_t malformed() const { return m_malformed; }

private:
    std::map<RequestKey, BillRecord> m_bills;
    std::int64_t m_copies = 0;
    std::int64_t m_malformed = 0;
};

} // namespace lycheearch
