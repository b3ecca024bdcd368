#include "Scenario.h"

#include <csignal>
#include <iomanip>

namespace lycheearch::trial {

namespace {

constexpr Duration BilledLimit = 30s;
constexpr std::size_t ViolationsShown = 6;

void wait(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

std::string dataCentre(Trial &trial, std::size_t index)
{
    return trial.fleet().plan().dataCentres.at(index).id;
}

std::string daemonOf(Trial &trial, std::size_t index)
{
    return trial.fleet().daemons().at(index).id;
}

std::string backend(Trial &trial, const std::string &kind, int number)
{
    for (const BackendGroup &group : trial.fleet().plan().groups) {
        if (group.kind == kind) {
            return group.prefix + "-" + std::to_string(number);
        }
    }
    return "";
}

void isolate(Trial &trial, std::size_t index, LinkState peers, LinkState platform)
{
    const std::string cut = dataCentre(trial, index);
    trial.fleet().setPlatformLink(cut, platform);
    for (const DataCentrePlan &other : trial.fleet().plan().dataCentres) {
        if (other.id != cut) {
            trial.fleet().setPeerLink(cut, other.id, peers);
        }
    }
}

/// The deployment's manifest with the state of the first version of the first model changed.
std::string withState(Trial &trial, const std::string &state)
{
    const std::string version = trial.manifest().models.begin()->second.versions.front().id.value();
    std::string text = trial.manifestText();
    const std::string mark = "id: " + version + ",";
    return text.replace(text.find(mark), mark.size(), mark + " state: " + state + ",");
}

Scenario cell(std::string name, std::string fault, std::string step,
              std::function<void(Trial &)> inject)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.fault = std::move(fault);
    scenario.step = std::move(step);
    scenario.inject = std::move(inject);
    return scenario;
}

void addDaemonCells(std::vector<Scenario> &cells)
{
    Scenario none = cell("none", "nothing", "all steps", [](Trial &) {});
    none.everyRequestAnswered = true;
    cells.push_back(none);
    cells.push_back(
        cell("daemon-killed", "daemon killed and restarted", "all steps", [](Trial &trial) {
            for (std::size_t i = 0; i < 3; ++i) {
                wait(1s);
                trial.killDaemon(daemonOf(trial, i));
                wait(1s);
                trial.restart(daemonOf(trial, i));
            }
        }));
    cells.push_back(cell("daemon-paused", "daemon paused until all its leases lapsed, then resumed",
                         "all steps", [](Trial &trial) {
                             wait(1s);
                             FleetDaemon &daemon = trial.fleet().daemons().at(0);
                             daemon.process->signal(SIGSTOP);
                             wait(6s);
                             daemon.process->signal(SIGCONT);
                         }));
    Scenario stopped =
        cell("daemon-stopped", "every daemon stopped gracefully in turn", "stop", [](Trial &trial) {
            for (std::size_t i = 0; i < 4; ++i) {
                wait(500ms);
                trial.stopGracefully(daemonOf(trial, i));
                trial.restart(daemonOf(trial, i));
            }
        });
    stopped.everyRequestAnswered = true;
    cells.push_back(stopped);
}

void addBackendCells(std::vector<Scenario> &cells)
{
    const auto faultOn = [](const std::string &kind, const std::string &name, std::int64_t value) {
        return [=](Trial &trial) {
            wait(1s);
            for (int number = 1; number <= 2; ++number) {
                trial.fleet().setFault(backend(trial, kind, number), name, value);
            }
            wait(5s);
            for (int number = 1; number <= 2; ++number) {
                trial.fleet().setFault(backend(trial, kind, number), name, 0);
            }
        };
    };
    cells.push_back(cell("engine-refuses", "engines refuse requests", "dispatch",
                         faultOn("engine", "refuse", 1)));
    cells.push_back(
        cell("engine-cut", "streams are cut off", "mid-answer", faultOn("engine", "cut", 40)));
    cells.push_back(cell("engine-crossed", "engines return answers of other requests", "first byte",
                         faultOn("engine", "crossed", 40)));
    cells.push_back(cell("engine-silent", "engines stop responding", "first byte",
                         faultOn("engine", "silent", 8'000)));
    cells.push_back(cell("service-refuses", "services refuse requests", "dispatch",
                         faultOn("service", "refuse", 1)));
    cells.push_back(
        cell("service-cut", "answers are cut off", "mid-answer", faultOn("service", "cut", 20)));
    cells.push_back(cell("service-crossed", "services return answers of other requests",
                         "first byte", faultOn("service", "crossed", 20)));
    cells.push_back(
        cell("service-late", "answers are late", "dispatch", faultOn("service", "slow", 1'500)));
    cells.push_back(
        cell("engine-cold-again", "engines lose their warm state without notice", "dispatch",
             [](Trial &trial) {
                 for (int round = 0; round < 5; ++round) {
                     wait(1s);
                     for (int number = 1; number <= 6; ++number) {
                         trial.fleet().control(
                             {{"action", "cold"}, {"target", backend(trial, "engine", number)}});
                     }
                 }
             }));
    Scenario cold =
        cell("engines-start-cold", "all engines start cold", "dispatch", [](Trial &) {});
    cold.prepare = [](FleetPlan &plan) {
        for (BackendGroup &group : plan.groups) {
            group.startsCold = group.kind == "engine";
        }
    };
    cells.push_back(cold);
    cells.push_back(cell("backend-leaving", "backend servers are marked as leaving", "dispatch",
                         [](Trial &trial) {
                             wait(1s);
                             trial.leaving(backend(trial, "engine", 1));
                             trial.leaving(backend(trial, "service", 1));
                             wait(8s);
                         }));
}

/// Injects a platform fault after 1 s and clears it after \p length.
std::function<void(Trial &)> platformFault(const std::string &name, std::int64_t value,
                                           Duration length)
{
    return [=](Trial &trial) {
        wait(1s);
        trial.fleet().setFault("", name, value);
        wait(length);
        trial.fleet().setFault("", name, 0);
    };
}

void addPlatformCells(std::vector<Scenario> &cells)
{
    const auto add = [&](const std::string &name, const std::string &fault, const std::string &step,
                         std::function<void(Trial &)> inject) {
        cells.push_back(cell(name, fault, step, std::move(inject)));
    };
    add("log-down", "log service down", "claim and bill", platformFault("log_down", 1, 7s));
    add("log-slow", "log service responds after 3 s", "claim and bill",
        platformFault("log_slow", 3'000, 6s));
    add("log-answers-lost", "appends take effect but their responses are lost", "claim and bill",
        platformFault("log_lose_answer", 200, 6s));
    add("list-down", "instance list down", "dispatch", platformFault("list_down", 1, 7s));
    add("rating-down", "rating service down", "rate", platformFault("rating_down", 1, 7s));
    add("rating-slow", "rating service responds after 5 s", "rate",
        platformFault("rating_slow", 5'000, 7s));
    add("log-down-daemon-killed", "log service down, and a daemon killed meanwhile",
        "claim and bill", [](Trial &trial) {
            wait(1s);
            trial.fleet().setFault("", "log_down", 1);
            wait(1s);
            trial.killDaemon(daemonOf(trial, 0));
            wait(4s);
            trial.restart(daemonOf(trial, 0));
            wait(2s);
            trial.fleet().setFault("", "log_down", 0);
        });
}

/// Sets the links of the first data centre to the given states after 1 s and reopens them 6 s
/// later.
std::function<void(Trial &)> isolation(LinkState peers, LinkState platform)
{
    return [=](Trial &trial) {
        wait(1s);
        isolate(trial, 0, peers, platform);
        wait(6s);
        isolate(trial, 0, LinkState::Open, LinkState::Open);
    };
}

void addPartitionCells(std::vector<Scenario> &cells)
{
    const auto add = [&](const std::string &name, const std::string &fault,
                         std::function<void(Trial &)> inject) {
        cells.push_back(cell(name, fault, "all steps", std::move(inject)));
    };
    add("cut-from-platform", "data centre partitioned from the platform",
        isolation(LinkState::Open, LinkState::Cut));
    add("cut-from-peers", "data centre partitioned from the others",
        isolation(LinkState::Cut, LinkState::Open));
    add("cut-from-both", "data centre partitioned from the platform and the others",
        isolation(LinkState::Cut, LinkState::Cut));
    add("cut-from-both-log-down",
        "data centre partitioned from the platform and the others, and the log service down",
        [](Trial &trial) {
            trial.fleet().setFault("", "log_down", 1);
            isolation(LinkState::Cut, LinkState::Cut)(trial);
            trial.fleet().setFault("", "log_down", 0);
        });
    add("links-silent", "open connections stop forwarding for good", [](Trial &trial) {
        for (int round = 0; round < 3; ++round) {
            wait(2s);
            trial.fleet().silenceLinks();
        }
    });
}

void addOperatorCells(std::vector<Scenario> &cells)
{
    cells.push_back(cell("data-centre-out", "data centre taken out of service and put back",
                         "dispatch", [](Trial &trial) {
                             wait(500ms);
                             trial.takeOut(dataCentre(trial, 0));
                             wait(9s);
                             trial.bringBack(dataCentre(trial, 0));
                         }));
    cells.push_back(cell("data-centre-out-log-down",
                         "data centre taken out of service while the log service is down",
                         "dispatch", [](Trial &trial) {
                             wait(500ms);
                             trial.fleet().setFault("", "log_down", 1);
                             trial.takeOut(dataCentre(trial, 0));
                             wait(9s);
                             trial.fleet().setFault("", "log_down", 0);
                         }));
    Scenario withdrawn =
        cell("version-withdrawn", "version withdrawn under load", "plan", [](Trial &trial) {
            wait(1s);
            trial.evidence().sessionsMayMove = true;
            trial.withdrawn(trial.manifest().models.begin()->second.versions.front().id.value());
            trial.publish(withState(trial, "withdrawn"));
            wait(8s);
        });
    cells.push_back(withdrawn);
    Scenario bad = cell("version-turns-bad", "all answers of an active version become bad", "rate",
                        [](Trial &trial) {
                            const std::string version =
                                trial.manifest().models.begin()->second.versions.front().id.value();
                            wait(6s);
                            trial.turnBad(version);
                        });
    bad.adjust = [](WorkloadSpec &spec) {
        spec.chatShare = 1.0;
        spec.sessionShare = 0.0;
        spec.requestsPerSecond *= 2;
    };
    cells.push_back(bad);
    cells.push_back(cell("replicas-wanted-holder-paused",
                         "the holder of the order lease is paused while it orders loads",
                         "order and load", [](Trial &trial) {
                             const std::string version =
                                 trial.manifest().models.begin()->second.versions.back().id.value();
                             std::string text = trial.manifestText();
                             const std::string mark = "id: " + version + ",";
                             text.replace(text.find(mark), mark.size(), mark + " replicas: 4,");
                             trial.publish(text);
                             wait(6s);
                             FleetDaemon &daemon = trial.fleet().daemons().at(0);
                             daemon.process->signal(SIGSTOP);
                             wait(9s);
                             daemon.process->signal(SIGCONT);
                             trial.expect(trial.waitReplicas(version, 4, 20s),
                                          "a data centre has fewer than 4 replicas of " + version);
                         }));
    cells.push_back(
        cell("operators-race", "operators publish concurrently from the same revision", "publish",
             [](Trial &trial) {
                 const std::string path = trial.workPath() + "/race.yaml";
                 trial.writeFile(path, withState(trial, "draining"));
                 std::vector<std::thread> operators;
                 std::atomic<int> accepted = 0;
                 wait(1s);
                 for (int i = 0; i < 4; ++i) {
                     operators.emplace_back([&] {
                         accepted += trial.runTool({"publish", "--base", "1", path}) == 0 ? 1 : 0;
                     });
                 }
                 for (std::thread &one : operators) {
                     one.join();
                 }
                 trial.expect(accepted == 1,
                              "of the concurrent manifests, " + std::to_string(accepted)
                                  + " were accepted, expected 1");
             }));
    cells.push_back(cell("log-retention", "old configuration records are truncated from the log",
                         "daemon start", [](Trial &trial) {
                             for (int i = 0; i < 110; ++i) {
                                 trial.runTool({"instance", i % 2 == 0 ? "out" : "in", "ghost"});
                                 trial.runTool({"instance", "out", "ghost-2"});
                             }
                             wait(1s);
                             trial.fleet().control({{"action", "truncate"},
                                                    {"target", "configuration"},
                                                    {"value", 15}});
                             trial.killDaemon(daemonOf(trial, 2));
                             trial.restart(daemonOf(trial, 2));
                             wait(2s);
                             trial.expect(trial.waitRevision(221, 10s),
                                          "a restarted daemon did not reach revision 221");
                         }));
    cells.push_back(cell("start-with-log-down", "daemon starts while the log service is down",
                         "daemon start", [](Trial &trial) {
                             wait(1s);
                             trial.fleet().setFault("", "log_down", 1);
                             trial.killDaemon(daemonOf(trial, 1));
                             trial.restart(daemonOf(trial, 1));
                             trial.expect(trial.waitRevision(1, 6s),
                                          "a daemon received no configuration from its peers");
                             wait(1s);
                             trial.fleet().setFault("", "log_down", 0);
                         }));
}

} // namespace

bool ScenarioOutcome::green() const
{
    bool held = error.empty();
    for (const Verdict &verdict : verdicts) {
        held = held && verdict.violations.empty();
    }
    return held;
}

std::vector<Scenario> allScenarios()
{
    std::vector<Scenario> cells;
    addDaemonCells(cells);
    addBackendCells(cells);
    addPlatformCells(cells);
    addPartitionCells(cells);
    addOperatorCells(cells);
    return cells;
}

ScenarioOutcome runScenario(const Scenario &scenario, const TrialPaths &paths,
                            std::uint16_t firstPort, const WorkloadSpec &spec)
{
    ScenarioOutcome outcome;
    outcome.name = scenario.name;
    try {
        FleetPlan plan = loadFleetPlan(paths.deployment + "/fleet.yaml");
        if (scenario.prepare) {
            scenario.prepare(plan);
        }
        FleetOptions options;
        options.firstPort = firstPort;
        Trial trial(paths, options, plan);
        trial.start();
        WorkloadSpec adjusted = spec;
        if (scenario.adjust) {
            scenario.adjust(adjusted);
        }
        std::string error;
        std::thread injector([&] {
            try {
                scenario.inject(trial);
            } catch (const std::exception &failure) {
                error = failure.what();
            }
        });
        trial.load(adjusted);
        injector.join();
        if (scenario.heal) {
            scenario.heal(trial);
        }
        if (!trial.waitBilled(BilledLimit)) {
            error += " bills were still pending at the end";
        }
        trial.collect();
        outcome.verdicts = Checker(trial.evidence()).judge();
        trial.expectFewExposed();
        Verdict extra{"expectations of the scenario itself", trial.expected(), trial.unexpected()};
        outcome.sent = trial.evidence().records.size();
        for (const RequestRecord &record : trial.evidence().records) {
            outcome.answered += record.answered ? 1 : 0;
            if (scenario.everyRequestAnswered && !record.answered) {
                extra.violations.push_back(record.nonce + " was not answered");
            }
        }
        outcome.verdicts.push_back(extra);
        outcome.error = error;
        trial.fleet().stopAll(true);
    } catch (const std::exception &failure) {
        outcome.error = failure.what();
    }
    return outcome;
}

void printOutcome(const ScenarioOutcome &outcome, std::ostream &out)
{
    out << std::left << std::setw(26) << outcome.name << std::setw(7)
        << (outcome.green() ? "green" : "RED") << "answered " << outcome.answered << " of "
        << outcome.sent << "\n";
    if (!outcome.error.empty()) {
        out << "    error: " << outcome.error << "\n";
    }
    for (const Verdict &verdict : outcome.verdicts) {
        for (std::size_t i = 0; i < std::min(ViolationsShown, verdict.violations.size()); ++i) {
            out << "    " << verdict.promise << ": " << verdict.violations[i] << "\n";
        }
        if (verdict.violations.size() > ViolationsShown) {
            out << "    and " << verdict.violations.size() - ViolationsShown << " more\n";
        }
    }
}

} // namespace lycheearch::trial
