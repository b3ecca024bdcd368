#pragma once

#include <cstdint>
#include <string>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace lycheearch {

/// Reserves a block of fixed loopback ports for one test through an exclusive file lock, which is
/// held for the lifetime of the object; other test runs on the machine wait for it. Without it, two
/// runs would connect to each other's servers.
class PortLock
{
public:
    explicit PortLock(std::uint16_t firstPort)
        : m_fd(open(("/tmp/lycheearch-test-ports-" + std::to_string(firstPort)).c_str(),
                    O_CREAT | O_RDWR | O_CLOEXEC, 0666))
    {
        flock(m_fd, LOCK_EX);
    }
    ~PortLock() { close(m_fd); }
    PortLock(const PortLock &) = delete;
    PortLock &operator=(const PortLock &) = delete;

private:
    int m_fd;
};

} // namespace lycheearch
