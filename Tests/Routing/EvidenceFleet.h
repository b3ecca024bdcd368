#pragma once

#include <memory>
#include <random>
#include <vector>

#include "Routing/CrashTable.h"

namespace lycheearch {

/// Daemons that tell each other their evidence with a delay, as the feeds do.
class EvidenceFleet
{
public:
    EvidenceFleet(std::size_t daemons, unsigned seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            tables.push_back(std::make_unique<CrashTable>());
        }
    }

    /// Each daemon is told after 200 ms to 600 ms what another one published.
    void exchange(TimePoint now)
    {
        for (std::size_t from = 0; from < tables.size(); ++from) {
            const CrashEvidence evidence = tables[from]->takeUnpublished(now);
            if (!evidence.empty()) {
                const Duration delay = std::chrono::milliseconds(200 + m_random() % 400);
                m_messages.push_back({now + delay, from, evidence});
            }
        }
        for (const Message &message : m_messages) {
            if (message.at > now) {
                continue;
            }
            for (std::size_t to = 0; to < tables.size(); ++to) {
                if (to != message.from) {
                    tables[to]->apply(message.evidence, now);
                }
            }
        }
        std::erase_if(m_messages, [&](const Message &message) { return message.at <= now; });
    }

    /// A daemon by uneven shares: half of the requests come to a tenth of them.
    std::size_t pick()
    {
        const std::size_t few = std::max<std::size_t>(tables.size() / 10, 1);
        return m_random() % (m_random() % 2 == 0 ? few : tables.size());
    }

    std::mt19937 &random() { return m_random; }

    std::vector<std::unique_ptr<CrashTable>> tables;

private:
    struct Message
    {
        TimePoint at;
        std::size_t from;
        CrashEvidence evidence;
    };

    std::mt19937 m_random;
    std::vector<Message> m_messages;
};

} // namespace lycheearch
