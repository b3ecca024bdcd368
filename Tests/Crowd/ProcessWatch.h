#pragma once

#include <atomic>
#include <cstdint>
#include <set>
#include <thread>

#include <sys/types.h>

namespace lycheearch::crowd {

/// Follows what a process holds: its resident memory together with the bytes that its sockets have
/// received and that it has not read, and its open descriptors.
class ProcessWatch
{
public:
    /// \p ports are those on which the process listens.
    ProcessWatch(pid_t process, std::set<std::uint16_t> ports);
    ~ProcessWatch();
    ProcessWatch(const ProcessWatch &) = delete;
    ProcessWatch &operator=(const ProcessWatch &) = delete;

    /// Most that was held at a time, in bytes.
    std::int64_t mostMemory();
    /// Most descriptors that were open at a time.
    std::size_t mostDescriptors();

private:
    void sample();
    std::int64_t unreadBytes() const;

    pid_t m_process;
    std::set<std::uint16_t> m_ports;
    std::atomic<std::int64_t> m_mostMemory = 0;
    std::atomic<std::size_t> m_mostDescriptors = 0;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace lycheearch::crowd
