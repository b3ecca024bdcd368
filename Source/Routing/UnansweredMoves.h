#pragma once

#include <map>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// Tells a server that hangs from one with a queue, by the requests that were taken from it because
/// their answers were late: a server that sent nothing between two such requests, which followed
/// each other closely, hangs.
class UnansweredMoves
{
public:
    /// Records that a request, sent at \p sentAt, was taken from the server without an answer.
    /// Returns whether the server hangs.
    bool onMoved(const InstanceId &server, TimePoint sentAt, TimePoint now);
    /// Records that the server sent a part of any answer.
    void onAnswered(const InstanceId &server)
    {
        if (!m_silences.empty()) {
            m_silences.erase(server);
        }
    }
    /// Time since the first of the requests without an answer was sent; zero if there is none.
    Duration silence(const InstanceId &server, TimePoint now) const;

private:
    struct Silence
    {
        int moves = 0;
        TimePoint since;
        TimePoint lastMovedAt;
    };

    std::map<InstanceId, Silence> m_silences;
};

} // namespace lycheearch
