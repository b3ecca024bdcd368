#pragma once

#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Http.h"
#include "Store.h"

namespace review {

/// The file record.txt: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::filesystem::path &path);

    void line(const std::string &text);
    /// Milliseconds since the start.
    long now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_start = Clock::now();
};

/// Figures of a deployment, for the template of the settings.
struct Site
{
    std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    std::string contracts =
        "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout";
    int memoryMb = 260;
    int descriptors = 4100;
    int graceS = 8;
};

/// One daemon, started with the command of the deploy file in the root of the repository.
class Daemon
{
public:
    Daemon(const std::filesystem::path &root, const std::filesystem::path &folder, std::string name,
           const std::string &zone, const Site &site, const Address &store);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    const std::string &name() const { return m_name; }
    const Address &front() const { return m_front; }
    const Address &ready() const { return m_ready; }
    void start();
    void signal(int number) const;
    /// Whether the process has ended by itself.
    bool ended();
    /// Kills the process if it runs, and waits for its end.
    void stop();
    /// Asks the readiness address. Returns the status, or 0 without an answer in \p limit.
    int readiness(Milliseconds limit = Milliseconds(1000)) const;
    bool waitUntilReady(Milliseconds limit) const;
    /// Resident memory in MiB.
    long memoryMb() const;
    /// Processor time that the process has used, in ms.
    long processorMs() const;

private:
    std::filesystem::path m_root;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    std::vector<std::string> m_command;
    std::string m_name;
    Address m_front;
    Address m_ready;
    pid_t m_pid = 0;
};

/// Whether the disruption is left out: TROUBLE=0 in the environment.
bool withoutTrouble();

/// The folder of the case and the root of the repository, from the arguments of main().
struct Folders
{
    std::filesystem::path root;
    std::filesystem::path caseFolder;
    std::filesystem::path work; ///< Temporary, removed by run-case-2.sh.

    static Folders from(int argc, char **argv);
};

} // namespace review
