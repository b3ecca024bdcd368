#include "Deployment.h"

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace fs = std::filesystem;

namespace {

std::string textOf(const fs::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw std::runtime_error("can't read " + path.string());
    }
    return text.str();
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
        text.replace(at, from.size(), to);
        at += to.size();
    }
    return text;
}

/// The words of the first "run = ..." line of the deploy file.
std::vector<std::string> runCommand(const std::string &deployFile)
{
    const std::string name = "run = \"";
    const std::size_t begin = deployFile.find(name) + name.size();
    std::istringstream line(deployFile.substr(begin, deployFile.find('"', begin) - begin));
    std::vector<std::string> words;
    for (std::string word; line >> word;) {
        words.push_back(word);
    }
    return words;
}

} // namespace

Record::Record(const fs::path &path)
    : m_file(path)
{
}

void Record::line(const std::string &text)
{
    const long at = now();
    const std::lock_guard lock(m_mutex);
    m_file << std::setw(6) << at << " ms  " << text << "\n" << std::flush;
}

long Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
}

Daemon::Daemon(const fs::path &root, const fs::path &folder, std::string name,
               const std::string &zone, const Site &site, const Address &store)
    : m_root(root)
    , m_settings(folder / (name + ".yaml"))
    , m_log(folder / (name + ".log"))
    , m_command(runCommand(textOf(root / "deploy/system.toml")))
    , m_name(std::move(name))
{
    m_front.port = freePort();
    m_ready.port = freePort();
    const std::string host = m_front.host;
    const std::map<std::string, std::string> fields = {
        {"Node", m_name},
        {"Zone", zone},
        {"Ip", host},
        {"Bind.Front", m_front.text()},
        {"Bind.Ready", m_ready.text()},
        {"PortRange.0", std::to_string(freePort())},
        {"PortRange.1", std::to_string(freePort())},
        {"Platform.Address", store.text()},
        {"Limits.MemoryMb", std::to_string(site.memoryMb)},
        {"Limits.MaxFds", std::to_string(site.descriptors)},
        {"Contracts", site.contracts},
        {"Bounds.DrainMs", "2000"},
        {"Bounds.GraceS", std::to_string(site.graceS)},
        {"Bounds.ConfigApplyMs", "2000"},
        {"Bounds.BudgetWindowS", "10"},
        {"Bounds.RetryBudgetRatio", "0.9"},
        {"Bounds.RetrySlack", "54"},
        {"Bounds.ExposeShare", "0.15"},
        {"Bounds.ExposureSlack", "30"},
        {"Bounds.ColdOvershoot", "1.5"},
        {"Bounds.ColdSlack", "5"},
    };
    // All machines have the same port for metrics, and these are one machine.
    std::string text = replaced(textOf(root / "deploy/settings.yaml"), "{{Ip}}:9100",
                                host + ":" + std::to_string(freePort()));
    for (const auto &[field, value] : fields) {
        text = replaced(text, "{{" + field + "}}", value);
    }
    std::ofstream(m_settings) << text;
    for (std::string &word : m_command) {
        word = replaced(word, "/etc/lycheearch/settings.conf", m_settings.string());
    }
}

Daemon::~Daemon()
{
    stop();
}

void Daemon::start()
{
    std::vector<char *> words;
    for (std::string &word : m_command) {
        words.push_back(word.data());
    }
    words.push_back(nullptr);
    const std::string setting = "LYCHEEARCH_BOOT=" + m_settings.string();
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        putenv(const_cast<char *>(setting.c_str()));
        if (chdir(m_root.c_str()) == 0) {
            execv(words[0], words.data());
        }
        _exit(127);
    }
}

void Daemon::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool Daemon::ended()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid == 0;
}

void Daemon::stop()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

int Daemon::readiness(Milliseconds limit) const
{
    const TimePoint until = Clock::now() + limit;
    const auto connection = Connection::open(m_ready);
    HttpMessage answer;
    if (!connection
        || !connection->write("GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        || !HttpReader(*connection).read(answer, until)) {
        return 0;
    }
    return answer.status();
}

bool Daemon::waitUntilReady(Milliseconds limit) const
{
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (readiness() == 200) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

long Daemon::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

long Daemon::processorMs() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        rest >> skipped;
    }
    long user = 0;
    long system = 0;
    rest >> user >> system;
    return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

bool withoutTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

Folders Folders::from(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " ROOT CASE WORK\n";
        std::exit(2);
    }
    return {argv[1], argv[2], argv[3]};
}

} // namespace review
