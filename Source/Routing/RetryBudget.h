#pragma once

#include <mutex>

namespace lycheearch {

/// Token bucket that limits retries to a share of the requests, so that retries do not overload a
/// failing pool. Thread-safe.
class RetryBudget
{
public:
    static constexpr double SharePerRequest = 0.2; ///< Retries added per request.
    static constexpr double Reserve = 20; ///< Capacity and initial balance, in retries.

    /// Adds the share of one request to the budget.
    void deposit();
    /// Takes one retry from the budget. Returns false if the budget is used up.
    bool tryWithdraw();

private:
    std::mutex m_mutex;
    double m_balance = Reserve; ///< Retries that are available.
};

} // namespace lycheearch
