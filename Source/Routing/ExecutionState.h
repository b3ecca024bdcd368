#pragma once

namespace lycheearch {

/// Whether a request may have been executed by a backend server. Decides which requests may be sent
/// again and which refusals may promise that the request was not executed.
///
/// An attempt counts as executed from the moment it is sent. Only proof of the contrary takes that
/// back: an attempt that ends in any other way, foreseen or not, may have been executed.
class ExecutionState
{
public:
    /// An attempt is about to be sent to a backend server, or to another daemon that may send it to
    /// one.
    void onSent();
    /// It is proven that the latest attempt was not executed and never will be: no byte of it was
    /// delivered, or the receiver declined it.
    void onProvenNotExecuted();

    /// Whether any attempt may have been executed or may still be.
    bool mayHaveRun() const { return m_latestMayHaveRun || m_earlierMayHaveRun; }
    /// Whether the request may be sent again. \p retryable: it may be executed more than once.
    bool maySendAgain(bool retryable) const { return retryable || !mayHaveRun(); }

private:
    bool m_latestMayHaveRun = false;
    bool m_earlierMayHaveRun = false;
};

} // namespace lycheearch
