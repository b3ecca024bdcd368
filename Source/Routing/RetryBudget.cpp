#include "Routing/RetryBudget.h"

#include <algorithm>

namespace lycheearch {

void RetryBudget::deposit()
{
    std::lock_guard lock(m_mutex);
    m_balance = std::min(Reserve, m_balance + SharePerRequest);
}

bool RetryBudget::tryWithdraw()
{
    std::lock_guard lock(m_mutex);
    if (m_balance < 1) {
        return false;
    }
    m_balance -= 1;
    return true;
}

} // namespace lycheearch
