#include "State/Ledger.h"

namespace lycheearch {

bool Ledger::add(const std::string &data)
{
    const std::optional<BillRecord> bill = decodeBill(data);
    if (!bill) {
        ++m_malformed;
        return false;
    }
    const auto [place, fresh] = m_bills.emplace(bill->key, *bill);
    if (!fresh) {
        ++m_copies;
        // A charge resolves a call whose outcome was unknown.
        if (place->second.kind == BillKind::Unresolved && bill->kind == BillKind::Charge) {
            place->second = *bill;
        }
    }
    return fresh;
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
