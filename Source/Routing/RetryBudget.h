#pragma once

#include <mutex>

namespace lycheearch {

/// Limits retries to a share of the requests, so that a failing pool is not loaded further by
/// them. Safe for use by many threads.
class RetryBudget
{
public:
    static constexpr double SharePerRequest = 0.2;
    static constexpr double Reserve = 20;

    /// A request arrived.
    void deposit();
    /// Takes one retry. Returns false if the budget is used up.
    bool withdraw();

private:
    std::mutex m_mutex;
    double m_balance = Reserve;
};

} // namespace lycheearch
