#pragma once

#include <iosfwd>
#include <string>

#include "Tool/ConfigClient.h"
#include "Tool/ToolSettings.h"

namespace lycheearch {

/// Exit codes of the tool. docs/operators/command-line.md explains them.
enum class ExitCode { Success = 0, Failed = 1, BadInput = 2, Refused = 3, Unavailable = 4 };

/// Settings, options and output streams of a command.
struct CommandContext
{
    const ToolSettings &settings;
    bool json = false;
    bool dryRun = false;
    std::ostream &out;
    std::ostream &err;
};

/// The commands of the operator's tool that need the settings, one function each. status() and
/// timeline() query the daemons; the others read and write the log directly. If the log is down,
/// data centres and instances can still be taken out of service through a daemon.
class Commands
{
public:
    Commands(CommandContext context, LogService &log, const Clock &clock);

    /// Publishes a manifest file. \p base is the revision that the manifest is based on; a negative
    /// value stands for the one in force. Returns Refused if the manifest in force has changed
    /// since that revision.
    ExitCode publish(const std::string &path, std::int64_t base);
    /// Prints the configuration in force, or only the text of its manifest.
    ExitCode show(bool manifestOnly);
    /// Prints the differences between the manifest in force and a file.
    ExitCode diff(const std::string &path);
    /// Takes a data centre or an instance out of service, or returns it to service. If the log does
    /// not respond, sends the record to the first daemon that accepts it.
    ExitCode setOutOfService(ConfigRecordType type, const std::string &subject, bool out);
    /// Prints the status of all daemons. Returns Failed if one does not respond or is not ready.
    ExitCode status();
    /// Prints the events of all daemons in causal order, or writes them as HTML to \p htmlPath if
    /// that is not empty. With a \p request, only its events, and Failed if there are none.
    ExitCode timeline(const std::string &request, const std::string &htmlPath);
    /// Prints the totals of the billing stream for each client account. \p bills adds each bill to
    /// the JSON output.
    ExitCode ledger(bool bills);

    /// Checks a manifest file. Needs neither settings nor the log.
    static ExitCode validate(const std::string &path, bool json, std::ostream &out,
                             std::ostream &err);

private:
    ExitCode submit(const ConfigRecord &record);
    ExitCode submitToDaemons(const ConfigRecord &record);
    ExitCode reportUnavailable(const Failure &failure);

    CommandContext m_context;
    LogService &m_log;
    const Clock &m_clock;
    ConfigClient m_client;
};

} // namespace lycheearch
