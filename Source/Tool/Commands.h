#pragma once

#include <iosfwd>
#include <string>

#include "Tool/ConfigClient.h"
#include "Tool/ToolSettings.h"

namespace lycheearch {

/// Exit codes of the tool. docs/operators/command-line.md explains them.
enum class ExitCode { Success = 0, Failed = 1, BadInput = 2, Refused = 3, Unavailable = 4 };

/// What every command needs.
struct CommandContext
{
    const ToolSettings &settings;
    bool json = false;
    bool dryRun = false;
    std::ostream &out;
    std::ostream &err;
};

/// The commands of the tool, one function each.
class Commands
{
public:
    Commands(CommandContext context, LogService &log, const Clock &clock);

    /// \p base is the revision that the manifest was made from; negative: the one in force.
    ExitCode publish(const std::string &path, std::int64_t base);
    ExitCode show(bool manifestOnly);
    ExitCode diff(const std::string &path);
    /// Takes a data centre or an instance out, or brings it back.
    ExitCode setOut(ConfigRecordType type, const std::string &subject, bool out);
    ExitCode status();
    ExitCode timeline(const std::string &request, const std::string &htmlPath);
    ExitCode ledger(bool bills);

    /// Checks a manifest file without any service.
    static ExitCode validate(const std::string &path, bool json, std::ostream &out,
                             std::ostream &err);

private:
    ExitCode submit(const ConfigRecord &record);
    ExitCode submitToDaemons(const ConfigRecord &record);
    ExitCode unavailable(const Failure &failure);

    CommandContext m_context;
    LogService &m_log;
    const Clock &m_clock;
    ConfigClient m_client;
};

} // namespace lycheearch
