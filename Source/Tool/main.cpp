#include <iostream>
#include <vector>

#include <CLI/CLI.hpp>

#include "Adapters/HttpLogService.h"
#include "Base/Logger.h"
#include "Tool/Commands.h"
#include "Tool/TraceCommand.h"

using namespace lycheearch;

namespace {

constexpr Duration LogTimeout = 2s;

/// Values of the command line.
struct Arguments
{
    std::string config = "lycheearch.yaml";
    bool json = false;
    bool dryRun = false;
    std::string file;
    std::int64_t base = -1;
    bool manifestOnly = false;
    std::string direction;
    std::string subject;
    std::string request;
    std::string html;
    bool bills = false;
    std::vector<std::string> logs;
};

/// The subcommands. After parsing, the one given on the command line converts to true.
struct Subcommands
{
    CLI::App *validate;
    CLI::App *describe;
    CLI::App *publish;
    CLI::App *show;
    CLI::App *diff;
    CLI::App *dataCentre;
    CLI::App *instance;
    CLI::App *status;
    CLI::App *timeline;
    CLI::App *explain;
    CLI::App *ledger;
    CLI::App *trace;
};

CLI::App *addOutOfServiceCommand(CLI::App &app, const std::string &name, const std::string &what,
                                 Arguments &arguments)
{
    CLI::App *command = app.add_subcommand(name, "Take " + what + " out of service or return it");
    command->add_option("direction", arguments.direction, "out or in")
        ->required()
        ->check(CLI::IsMember({"out", "in"}));
    command->add_option("id", arguments.subject, "Id of the data centre or instance")->required();
    return command;
}

Subcommands addCommands(CLI::App &app, Arguments &arguments)
{
    Subcommands commands{};
    commands.validate = app.add_subcommand("validate", "Check a manifest file");
    commands.validate->add_option("file", arguments.file, "Manifest")->required();
    commands.describe = app.add_subcommand("describe-manifest", "Print the manifest reference");
    commands.publish = app.add_subcommand("publish", "Publish a manifest");
    commands.publish->add_option("file", arguments.file, "Manifest")->required();
    commands.publish->add_option(
        "--base", arguments.base,
        "Revision that the manifest is based on; default: the one in force");
    commands.show = app.add_subcommand("show", "Show the configuration in force");
    commands.show->add_flag("--manifest", arguments.manifestOnly, "Only the manifest's text");
    commands.diff = app.add_subcommand("diff", "Compare a manifest with the one in force");
    commands.diff->add_option("file", arguments.file, "Manifest")->required();
    commands.dataCentre = addOutOfServiceCommand(app, "data-centre", "a data centre", arguments);
    commands.instance = addOutOfServiceCommand(app, "instance", "an instance", arguments);
    commands.status = app.add_subcommand("status", "Show the status of all daemons");
    commands.timeline =
        app.add_subcommand("timeline", "Show the events of all daemons in causal order");
    commands.timeline->add_option("--request", arguments.request, "Only events of this request");
    commands.timeline->add_option("--html", arguments.html, "Write an HTML page to this file");
    commands.explain = app.add_subcommand("explain", "Show the events of one request");
    commands.explain->add_option("request", arguments.request, "Request id")->required();
    commands.trace =
        app.add_subcommand("trace", "Explain the outcome of a request from the daemons' logs");
    commands.trace->add_option("request", arguments.request, "Request id")->required();
    commands.trace->add_option("logs", arguments.logs, "Log files; none or -: standard input");
    commands.ledger =
        app.add_subcommand("ledger", "Sum up the billing stream for each client account");
    commands.ledger->add_flag("--bills", arguments.bills, "Include every bill (JSON output only)");
    return commands;
}

ExitCode runCommand(const Subcommands &subcommands, const Arguments &arguments, Commands &commands)
{
    const bool out = arguments.direction == "out";
    if (*subcommands.publish) {
        return commands.publish(arguments.file, arguments.base);
    }
    if (*subcommands.show) {
        return commands.show(arguments.manifestOnly);
    }
    if (*subcommands.diff) {
        return commands.diff(arguments.file);
    }
    if (*subcommands.dataCentre) {
        return commands.setOutOfService(ConfigRecordType::DataCentre, arguments.subject, out);
    }
    if (*subcommands.instance) {
        return commands.setOutOfService(ConfigRecordType::Instance, arguments.subject, out);
    }
    if (*subcommands.status) {
        return commands.status();
    }
    if (*subcommands.ledger) {
        return commands.ledger(arguments.bills);
    }
    return commands.timeline(arguments.request, arguments.html);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Command line tool for operators of the model-aware request router.");
    Arguments arguments;
    app.add_option("--config", arguments.config, "Tool settings in YAML")->capture_default_str();
    app.add_flag("--json", arguments.json, "Print results as JSON");
    app.add_flag("--dry-run", arguments.dryRun, "Print the change without making it");
    app.require_subcommand(1);
    app.footer("Exit codes: 0 success, 1 failure, 2 bad input, 3 change refused,\n"
               "4 a service does not respond.");
    const Subcommands subcommands = addCommands(app, arguments);
    CLI11_PARSE(app, argc, argv);
    Logger::configure("lycheearch", "error");
    if (*subcommands.validate) {
        return static_cast<int>(
            Commands::validate(arguments.file, arguments.json, std::cout, std::cerr));
    }
    if (*subcommands.trace) {
        return static_cast<int>(traceRequest({arguments.request, arguments.logs, arguments.json},
                                             std::cin, std::cout, std::cerr));
    }
    if (*subcommands.describe) {
        std::cout << manifestReference();
        return static_cast<int>(ExitCode::Success);
    }
    Findings findings;
    const ToolSettings settings = loadToolSettings(arguments.config, findings);
    if (!findings.empty()) {
        std::cerr << findings.text();
        return static_cast<int>(ExitCode::BadInput);
    }
    HttpLogService log(settings.log, LogTimeout);
    const SystemClock clock;
    Commands commands({settings, arguments.json, arguments.dryRun, std::cout, std::cerr}, log,
                      clock);
    return static_cast<int>(runCommand(subcommands, arguments, commands));
}
