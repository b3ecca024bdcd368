#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::trial {

/// A child process of a trial. Its output is appended to a file. The destructor kills it if it
/// still runs, so that a failed trial leaves no processes behind.
class ChildProcess
{
public:
    /// Starts \p command, a path and its arguments. Throws std::runtime_error if it cannot be
    /// started.
    ChildProcess(const std::vector<std::string> &command, const std::string &outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const { return m_id; }
    /// Sends a signal, unless the process is known to have exited.
    void signal(int signalNumber) const;
    /// Waits for the exit and returns the exit code, or the negated signal number if a signal ended
    /// the process. Returns -1 if the process still runs after \p limit.
    int wait(Duration limit);
    bool running();
    /// User and system processor time used so far.
    Duration processorTime() const;
    /// On SIGTERM or SIGINT, kills all child processes and exits this program. Call this before any
    /// thread is started, so that all threads inherit the blocked signals.
    static void killAllOnSignal();
    /// Resident memory of the process.
    std::int64_t residentBytes() const;

private:
    pid_t m_id = -1;
    bool m_ended = false;
    int m_exitCode = -1;
};

} // namespace lycheearch::trial
