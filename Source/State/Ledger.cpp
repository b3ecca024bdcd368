#include "State/Ledger.h"

namespace lycheearch {

bool Ledger::add(const std::string &data)
{
    const std::optional<BillRecord> bill = decodeBill(data);
    if (!bill) {
        ++m_malformed;
        return false;
    }
    const auto [entry, inserted] = m_bills.emplace(bill->key, *bill);
    if (!inserted) {
        ++m_duplicates;
        // A charge resolves a call whose outcome was unknown.
        if (entry->second.kind == BillKind::Unresolved && bill->kind == BillKind::Charge) {
            entry->second = *bill;
        }
    }
    return inserted;
}

std::map<AccountId, AccountTotal> Ledger::totals() const
{
    std::map<AccountId, AccountTotal> totals;
    for (const auto &[key, bill] : m_bills) {
        AccountTotal &total = totals[bill.account];
        if (bill.kind == BillKind::Unresolved) {
            ++total.unresolved;
            continue;
        }
        ++total.charges;
        total.cost = total.cost + bill.cost;
        total.tokens = total.tokens + bill.tokens;
    }
    return totals;
}

} // namespace lycheearch
