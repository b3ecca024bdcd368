#include "Caller.h"

namespace review {

std::string Call::text() const
{
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
        + "\r\nTime-Budget-Ms: " + std::to_string(budgetMs) + "\r\nApi-Key: " + key + "\r\n";
    for (const HttpField &field : fields) {
        head += field.name + ": " + field.value + "\r\n";
    }
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Outcome::text() const
{
    if (!connected) {
        return "no connection";
    }
    return answeredMs < 0
        ? "no whole answer"
        : std::to_string(answer.status()) + " after " + std::to_string(answeredMs) + " ms";
}

Outcome call(const Address &address, const Call &call, Milliseconds wait)
{
    Outcome outcome;
    const TimePoint sentAt = Clock::now();
    const auto connection = Connection::open(address);
    outcome.connected = connection != nullptr;
    if (!connection || !connection->write(call.text())) {
        return outcome;
    }
    if (HttpReader(*connection).read(outcome.answer, sentAt + wait) && outcome.answer.complete) {
        outcome.answeredMs =
            std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt).count();
    }
    return outcome;
}

void LateCounts::add(const Outcome &outcome, int timeoutMs)
{
    ++sent;
    served += outcome.served() ? 1 : 0;
    unanswered += outcome.answeredMs < 0 || outcome.answeredMs > timeoutMs ? 1 : 0;
    heldUp += outcome.answeredMs < 0 || outcome.answeredMs > timeoutMs + 500 ? 1 : 0;
}

std::string LateCounts::text() const
{
    return "sent " + std::to_string(sent) + ", served " + std::to_string(served)
        + ", unanswered at TimeoutMs " + std::to_string(unanswered) + ", still so 0.5 s later "
        + std::to_string(heldUp);
}

} // namespace review
