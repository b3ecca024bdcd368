#include "ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace lycheearch::trial {

namespace {
constexpr Duration WaitPoll = 10ms;
constexpr Duration KillWait = 5s;
constexpr int FieldsBeforeUserTime = 11; ///< Of /proc/ID/stat behind the program's name.
constexpr int OutputMode = 0644;
} // namespace

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
                                     O_WRONLY | O_CREAT | O_APPEND, OutputMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure =
        posix_spawn(&m_id, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

ChildProcess::~ChildProcess()
{
    if (running()) {
        signal(SIGKILL);
        wait(KillWait);
    }
}

void ChildProcess::signal(int number) const
{
    if (!m_ended) {
        kill(m_id, number);
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
            m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            break;
        }
        if (waited >= limit) {
            return -1;
        }
        std::this_thread::sleep_for(WaitPoll);
        waited += WaitPoll;
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
