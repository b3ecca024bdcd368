#include "ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace lycheearch::trial {

namespace {
constexpr Duration WaitPollInterval = 10ms;
constexpr Duration KillTimeout = 5s;
constexpr int FieldsBeforeUserTime = 11; ///< In /proc/PID/stat, after the program name.
constexpr int OutputFileMode = 0644;
} // namespace

namespace {

/// Process ids of the running children, for killAllOnSignal().
class RunningChildren
{
public:
    void add(pid_t id)
    {
        std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    void remove(pid_t id)
    {
        std::lock_guard lock(m_mutex);
        m_ids.erase(id);
    }
    void killAll()
    {
        std::lock_guard lock(m_mutex);
        for (const pid_t id : m_ids) {
            kill(id, SIGKILL);
        }
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_ids;
};

RunningChildren &runningChildren()
{
    static RunningChildren children;
    return children;
}

} // namespace

void ChildProcess::killAllOnSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        runningChildren().killAll();
        std::_Exit(EXIT_FAILURE);
    }).detach();
}

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &outputPath)
{
    std::vector<char *> arguments;
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, OutputFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Closes inherited descriptors: a listening socket of the trial would stay open in the child
    // after the trial closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failure = posix_spawn(&m_id, command.front().c_str(), &actions, &attributes,
                                    arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
    runningChildren().add(m_id);
}

ChildProcess::~ChildProcess()
{
    if (running()) {
        signal(SIGKILL);
        wait(KillTimeout);
    }
}

void ChildProcess::signal(int signalNumber) const
{
    if (!m_ended) {
        kill(m_id, signalNumber);
    }
}

bool ChildProcess::running()
{
    return wait(Duration(0)) == -1 && !m_ended;
}

int ChildProcess::wait(Duration limit)
{
    Duration waited{};
    while (!m_ended) {
        int status = 0;
        if (waitpid(m_id, &status, WNOHANG) == m_id) {
            m_ended = true;
            runningChildren().remove(m_id);
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            break;
        }
        if (waited >= limit) {
            return -1;
        }
        std::this_thread::sleep_for(WaitPollInterval);
        waited += WaitPollInterval;
    }
    return m_exitCode;
}

Duration ChildProcess::processorTime() const
{
    std::ifstream file("/proc/" + std::to_string(m_id) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

std::int64_t ChildProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_id) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

} // namespace lycheearch::trial
