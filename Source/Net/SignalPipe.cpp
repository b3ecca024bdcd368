#include "Net/SignalPipe.h"

#include <csignal>
#include <system_error>

#include <cerrno>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace lycheearch {

namespace {

volatile std::sig_atomic_t signalPipeWriteFd = -1;

void onSignal(int signal)
{
    const int savedErrno = errno;
    const auto byte = static_cast<unsigned char>(signal);
    // If the pipe is full, the signal is dropped; the event loop wakes up anyway.
    [[maybe_unused]] const ssize_t count = write(signalPipeWriteFd, &byte, 1);
    errno = savedErrno;
}

} // namespace

SignalPipe::SignalPipe(EventLoop &loop, Callback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    if (pipe2(m_pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    signalPipeWriteFd = m_pipe[1];
    m_loop.watch(m_pipe[0], EPOLLIN, *this);
}

SignalPipe::~SignalPipe()
{
    signalPipeWriteFd = -1;
    m_loop.unwatch(m_pipe[0]);
    close(m_pipe[0]);
    close(m_pipe[1]);
}

void SignalPipe::handle(int signal)
{
    struct sigaction action = {};
    action.sa_handler = onSignal;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    sigaction(signal, &action, nullptr);
}

void SignalPipe::onReady(std::uint32_t, TimePoint now)
{
    std::array<unsigned char, 64> bytes{};
    const ssize_t count = read(m_pipe[0], bytes.data(), bytes.size());
    for (ssize_t i = 0; i < count; ++i) {
        m_callback(bytes[static_cast<std::size_t>(i)], now);
    }
}

} // namespace lycheearch
