#pragma once

#include <array>
#include <functional>

#include "Net/EventLoop.h"

namespace lycheearch {

/// Delivers signals to the event loop through a pipe (self-pipe trick). Only one per process.
class SignalPipe : private IoHandler
{
public:
    using Callback = std::function<void(int signal, TimePoint now)>;

    SignalPipe(EventLoop &loop, Callback callback);
    ~SignalPipe() override;

    /// Installs the handler for \p signal.
    void handle(int signal);

private:
    void onReady(std::uint32_t events, TimePoint now) override;

    EventLoop &m_loop;
    Callback m_callback;
    std::array<int, 2> m_pipe{-1, -1};
};

} // namespace lycheearch
