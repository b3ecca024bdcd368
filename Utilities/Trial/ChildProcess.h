#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "Base/Time.h"

namespace lycheearch::trial {

/// A process that a trial started. Its output goes to a file. It is killed when the object goes.
class ChildProcess
{
public:
    ChildProcess(const std::vector<std::string> &command, const std::string &outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const { return m_id; }
    void signal(int number) const;
    /// Waits for the end and returns the exit code; negative: a signal, or it did not end in time.
    int wait(Duration limit);
    bool running();
    /// Processor time used so far.
    Duration processorTime() const;
    /// Kills all processes of this program on SIGTERM and SIGINT, and ends it. Called first in
    /// main.
    static void killAllOnSignal();
    /// Resident memory.
    std::int64_t residentBytes() const;

private:
    pid_t m_id = -1;
    bool m_ended = false;
    int m_exitCode = -1;
};

} // namespace lycheearch::trial
