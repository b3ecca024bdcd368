#pragma once

#include <array>
#include <functional>

#include "Net/EventLoop.h"

namespace lycheearch {

/// Brings signals to the event loop. One instance a process.
class SignalPipe : private IoHandler
{
public:
    using Callback = std::function<void(int signal, TimePoint now)>;

    SignalPipe(EventLoop &loop, Callback callback);
    ~SignalPipe() override;

    /// Catches \p signal from now on.
    void handle(int signal);

private:
    void onReady(std::uint32_t events, TimePoint now) override;

    EventLoop &m_loop;
    Callback m_callback;
    std::array<int, 2> m_pipe{-1, -1};
};

} // namespace lycheearch
