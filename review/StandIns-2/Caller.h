#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "Deployment.h"
#include "Http.h"

namespace review {

/// A request of a client.
struct Call
{
    std::string id;
    std::string method = "POST";
    std::string host = "h.example";
    std::string path;
    std::string key = "key-one";
    std::vector<HttpField> fields; ///< Further header fields.
    std::string body;
    int budgetMs = 1500;

    std::string text() const;
};

/// What the client has seen of its answer.
struct Outcome
{
    bool connected = false;
    HttpMessage answer;
    long answeredMs = -1; ///< From sending to the last byte; -1 without a whole answer.

    bool served() const { return answeredMs >= 0 && answer.status() == 200; }
    std::string text() const;
};

/// Sends a request on a new connection, and waits for the answer for so long.
Outcome call(const Address &address, const Call &call, Milliseconds wait);

/// Counts of the rule CONFIG: requests that are unanswered at their route's TimeoutMs, and those of
/// them without a final answer half a second later.
struct LateCounts
{
    int sent = 0;
    int served = 0;
    int unanswered = 0;
    int heldUp = 0;

    void add(const Outcome &outcome, int timeoutMs);
    std::string text() const;
    /// More than half of those that are still unanswered, eight at least.
    bool breaksRule() const { return heldUp >= 8 && 2 * heldUp > unanswered; }
};

} // namespace review
