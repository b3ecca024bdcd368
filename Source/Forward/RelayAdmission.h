#pragma once

namespace lycheearch {

/// Bounds the requests of other daemons that this daemon serves at a time, so that its own callers
/// are served as well.
class RelayAdmission
{
public:
    static constexpr int MaxRequests = 256;

    /// Returns false if there are too many.
    bool tryEnter()
    {
        if (m_requests >= MaxRequests) {
            return false;
        }
        ++m_requests;
        return true;
    }
    void leave() { --m_requests; }

private:
    int m_requests = 0;
};

} // namespace lycheearch
