#include "Scenario.h"

#include <csignal>
#include <iomanip>

namespace lycheearch::trial {

namespace {

constexpr Duration BillingTimeout = 30s;
constexpr std::size_t MaxViolationsShown = 6;

void sleepFor(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

std::string dataCentreId(Trial &trial, std::size_t index)
{
    return trial.fleet().plan().dataCentres.at(index).id;
}

std::string daemonId(Trial &trial, std::size_t index)
{
    return trial.fleet().daemons().at(index).id;
}

std::string backendId(Trial &trial, const std::string &kind, int number)
{
    for (const BackendGroup &group : trial.fleet().plan().groups) {
        if (group.kind == kind) {
            return group.prefix + "-" + std::to_string(number);
        }
    }
    return "";
}

void setDataCentreLinks(Trial &trial, std::size_t index, LinkState peers, LinkState platform)
{
    const std::string isolatedId = dataCentreId(trial, index);
    trial.fleet().setPlatformLink(isolatedId, platform);
    for (const DataCentrePlan &other : trial.fleet().plan().dataCentres) {
        if (other.id != isolatedId) {
            trial.fleet().setPeerLink(isolatedId, other.id, peers);
        }
    }
}

/// Returns the deployment's manifest with \p state as the state of the first version of the first
/// model.
std::string manifestWithState(Trial &trial, const std::string &state)
{
    const std::string version = trial.manifest().models.begin()->second.versions.front().id.value();
    std::string text = trial.manifestText();
    const std::string mark = "id: " + version + ",";
    return text.replace(text.find(mark), mark.size(), mark + " state: " + state + ",");
}

Scenario makeScenario(std::string name, std::string fault, std::string step,
                      std::function<void(Trial &)> inject)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.fault = std::move(fault);
    scenario.step = std::move(step);
    scenario.inject = std::move(inject);
    return scenario;
}

void addDaemonScenarios(std::vector<Scenario> &scenarios)
{
    Scenario none = makeScenario("none", "nothing", "all steps", [](Trial &) {});
    none.requiresAllAnswers = true;
    scenarios.push_back(none);
    scenarios.push_back(
        makeScenario("daemon-killed", "daemon killed and restarted", "all steps", [](Trial &trial) {
            for (std::size_t i = 0; i < 3; ++i) {
                sleepFor(1s);
                trial.killDaemon(daemonId(trial, i));
                sleepFor(1s);
                trial.restart(daemonId(trial, i));
            }
        }));
    scenarios.push_back(makeScenario("daemon-paused",
                                     "daemon paused until all its leases expired, then resumed",
                                     "all steps", [](Trial &trial) {
                                         sleepFor(1s);
                                         FleetDaemon &daemon = trial.fleet().daemons().at(0);
                                         daemon.process->signal(SIGSTOP);
                                         sleepFor(6s);
                                         daemon.process->signal(SIGCONT);
                                     }));
    Scenario stopped = makeScenario("daemon-stopped", "every daemon stopped gracefully in turn",
                                    "stop", [](Trial &trial) {
                                        for (std::size_t i = 0; i < 4; ++i) {
                                            sleepFor(500ms);
                                            trial.stopGracefully(daemonId(trial, i));
                                            trial.restart(daemonId(trial, i));
                                        }
                                    });
    stopped.requiresAllAnswers = true;
    scenarios.push_back(stopped);
}

void addBackendScenarios(std::vector<Scenario> &scenarios)
{
    const auto backendFault = [](const std::string &kind, const std::string &name,
                                 std::int64_t value) {
        return [=](Trial &trial) {
            sleepFor(1s);
            for (int number = 1; number <= 2; ++number) {
                trial.fleet().setFault(backendId(trial, kind, number), name, value);
            }
            sleepFor(5s);
            for (int number = 1; number <= 2; ++number) {
                trial.fleet().setFault(backendId(trial, kind, number), name, 0);
            }
        };
    };
    scenarios.push_back(makeScenario("engine-refuses", "engines refuse requests", "dispatch",
                                     backendFault("engine", "refuse", 1)));
    scenarios.push_back(makeScenario("engine-cut", "streams are cut off", "mid-answer",
                                     backendFault("engine", "cut", 40)));
    scenarios.push_back(makeScenario("engine-crossed", "engines return answers of other requests",
                                     "first byte", backendFault("engine", "crossed", 40)));
    scenarios.push_back(makeScenario("engine-silent", "engines stop responding", "first byte",
                                     backendFault("engine", "silent", 8'000)));
    scenarios.push_back(makeScenario("service-refuses", "services refuse requests", "dispatch",
                                     backendFault("service", "refuse", 1)));
    scenarios.push_back(makeScenario("service-cut", "answers are cut off", "mid-answer",
                                     backendFault("service", "cut", 20)));
    scenarios.push_back(makeScenario("service-crossed", "services return answers of other requests",
                                     "first byte", backendFault("service", "crossed", 20)));
    scenarios.push_back(makeScenario("service-late", "answers are late", "dispatch",
                                     backendFault("service", "slow", 1'500)));
    scenarios.push_back(makeScenario(
        "engine-cold-again", "engines lose their warm state without notice", "dispatch",
        [](Trial &trial) {
            for (int round = 0; round < 5; ++round) {
                sleepFor(1s);
                for (int number = 1; number <= 6; ++number) {
                    trial.fleet().control(
                        {{"action", "cold"}, {"target", backendId(trial, "engine", number)}});
                }
            }
        }));
    Scenario cold =
        makeScenario("engines-start-cold", "all engines start cold", "dispatch", [](Trial &) {});
    cold.adjustFleet = [](FleetPlan &plan) {
        for (BackendGroup &group : plan.groups) {
            group.startsCold = group.kind == "engine";
        }
    };
    scenarios.push_back(cold);
    scenarios.push_back(makeScenario("backend-leaving", "backend servers are marked as leaving",
                                     "dispatch", [](Trial &trial) {
                                         sleepFor(1s);
                                         trial.markBackendLeaving(backendId(trial, "engine", 1));
                                         trial.markBackendLeaving(backendId(trial, "service", 1));
                                         sleepFor(8s);
                                     }));
}

/// Injects a platform fault after 1 s and clears it after \p length.
std::function<void(Trial &)> platformFault(const std::string &name, std::int64_t value,
                                           Duration length)
{
    return [=](Trial &trial) {
        sleepFor(1s);
        trial.fleet().setFault("", name, value);
        sleepFor(length);
        trial.fleet().setFault("", name, 0);
    };
}

void addPlatformScenarios(std::vector<Scenario> &scenarios)
{
    const auto add = [&](const std::string &name, const std::string &fault, const std::string &step,
                         std::function<void(Trial &)> inject) {
        scenarios.push_back(makeScenario(name, fault, step, std::move(inject)));
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
            sleepFor(1s);
            trial.fleet().setFault("", "log_down", 1);
            sleepFor(1s);
            trial.killDaemon(daemonId(trial, 0));
            sleepFor(4s);
            trial.restart(daemonId(trial, 0));
            sleepFor(2s);
            trial.fleet().setFault("", "log_down", 0);
        });
}

/// Sets the links of the first data centre to the given states after 1 s and reopens them 6 s
/// later.
std::function<void(Trial &)> isolationFault(LinkState peers, LinkState platform)
{
    return [=](Trial &trial) {
        sleepFor(1s);
        setDataCentreLinks(trial, 0, peers, platform);
        sleepFor(6s);
        setDataCentreLinks(trial, 0, LinkState::Open, LinkState::Open);
    };
}

void addPartitionScenarios(std::vector<Scenario> &scenarios)
{
    const auto add = [&](const std::string &name, const std::string &fault,
                         std::function<void(Trial &)> inject) {
        scenarios.push_back(makeScenario(name, fault, "all steps", std::move(inject)));
    };
    add("cut-from-platform", "data centre partitioned from the platform",
        isolationFault(LinkState::Open, LinkState::Cut));
    add("cut-from-peers", "data centre partitioned from the others",
        isolationFault(LinkState::Cut, LinkState::Open));
    add("cut-from-both", "data centre partitioned from the platform and the others",
        isolationFault(LinkState::Cut, LinkState::Cut));
    add("cut-from-both-log-down",
        "data centre partitioned from the platform and the others, and the log service down",
        [](Trial &trial) {
            trial.fleet().setFault("", "log_down", 1);
            isolationFault(LinkState::Cut, LinkState::Cut)(trial);
            trial.fleet().setFault("", "log_down", 0);
        });
    add("links-silent", "open connections stall permanently", [](Trial &trial) {
        for (int round = 0; round < 3; ++round) {
            sleepFor(2s);
            trial.fleet().stallAllOpenConnections();
        }
    });
}

void addOperatorScenarios(std::vector<Scenario> &scenarios)
{
    scenarios.push_back(makeScenario("data-centre-out",
                                     "data centre taken out of service and put back", "dispatch",
                                     [](Trial &trial) {
                                         sleepFor(500ms);
                                         trial.takeDataCentreOut(dataCentreId(trial, 0));
                                         sleepFor(9s);
                                         trial.putDataCentreBack(dataCentreId(trial, 0));
                                     }));
    scenarios.push_back(
        makeScenario("data-centre-out-log-down",
                     "data centre taken out of service while the log service is down", "dispatch",
                     [](Trial &trial) {
                         sleepFor(500ms);
                         trial.fleet().setFault("", "log_down", 1);
                         trial.takeDataCentreOut(dataCentreId(trial, 0));
                         sleepFor(9s);
                         trial.fleet().setFault("", "log_down", 0);
                     }));
    Scenario versionWithdrawn =
        makeScenario("version-withdrawn", "version withdrawn under load", "plan", [](Trial &trial) {
            sleepFor(1s);
            trial.evidence().sessionsMaySwitchVersion = true;
            trial.versionWithdrawn(
                trial.manifest().models.begin()->second.versions.front().id.value());
            trial.publish(manifestWithState(trial, "withdrawn"));
            sleepFor(8s);
        });
    scenarios.push_back(versionWithdrawn);
    Scenario bad =
        makeScenario("version-turns-bad", "all answers of an active version become bad", "rate",
                     [](Trial &trial) {
                         const std::string version =
                             trial.manifest().models.begin()->second.versions.front().id.value();
                         sleepFor(6s);
                         trial.makeAnswersBad(version);
                     });
    bad.adjustWorkload = [](WorkloadSpec &spec) {
        spec.chatShare = 1.0;
        spec.sessionShare = 0.0;
        spec.requestsPerSecond *= 2;
    };
    scenarios.push_back(bad);
    scenarios.push_back(
        makeScenario("replicas-wanted-holder-paused",
                     "the daemon that holds the order lease is paused while it orders loads",
                     "order and load", [](Trial &trial) {
                         const std::string version =
                             trial.manifest().models.begin()->second.versions.back().id.value();
                         std::string text = trial.manifestText();
                         const std::string mark = "id: " + version + ",";
                         text.replace(text.find(mark), mark.size(), mark + " replicas: 4,");
                         trial.publish(text);
                         sleepFor(6s);
                         FleetDaemon &daemon = trial.fleet().daemons().at(0);
                         daemon.process->signal(SIGSTOP);
                         sleepFor(9s);
                         daemon.process->signal(SIGCONT);
                         trial.expect(trial.waitReplicas(version, 4, 20s),
                                      "a data centre has fewer than 4 replicas of " + version);
                     }));
    scenarios.push_back(makeScenario(
        "operators-race", "operators publish concurrently from the same revision", "publish",
        [](Trial &trial) {
            const std::string path = trial.workPath() + "/race.yaml";
            trial.writeFile(path, manifestWithState(trial, "draining"));
            std::vector<std::thread> operators;
            std::atomic<int> accepted = 0;
            sleepFor(1s);
            for (int i = 0; i < 4; ++i) {
                operators.emplace_back([&] {
                    accepted += trial.runTool({"publish", "--base", "1", path}) == 0 ? 1 : 0;
                });
            }
            for (std::thread &operatorThread : operators) {
                operatorThread.join();
            }
            trial.expect(accepted == 1,
                         "of the concurrent manifests, " + std::to_string(accepted)
                             + " were accepted, expected 1");
        }));
    scenarios.push_back(
        makeScenario("log-retention", "old configuration records are truncated from the log",
                     "daemon start", [](Trial &trial) {
                         for (int i = 0; i < 110; ++i) {
                             trial.runTool({"instance", i % 2 == 0 ? "out" : "in", "ghost"});
                             trial.runTool({"instance", "out", "ghost-2"});
                         }
                         sleepFor(1s);
                         trial.fleet().control(
                             {{"action", "truncate"}, {"target", "configuration"}, {"value", 15}});
                         trial.killDaemon(daemonId(trial, 2));
                         trial.restart(daemonId(trial, 2));
                         sleepFor(2s);
                         trial.expect(trial.waitRevision(221, 10s),
                                      "a restarted daemon did not reach revision 221");
                     }));
    scenarios.push_back(
        makeScenario("start-with-log-down", "daemon starts while the log service is down",
                     "daemon start", [](Trial &trial) {
                         sleepFor(1s);
                         trial.fleet().setFault("", "log_down", 1);
                         trial.killDaemon(daemonId(trial, 1));
                         trial.restart(daemonId(trial, 1));
                         trial.expect(trial.waitRevision(1, 6s),
                                      "a daemon received no configuration from its peers");
                         sleepFor(1s);
                         trial.fleet().setFault("", "log_down", 0);
                     }));
}

} // namespace

bool ScenarioOutcome::passed() const
{
    bool held = error.empty();
    for (const Verdict &verdict : verdicts) {
        held = held && verdict.violations.empty();
    }
    return held;
}

std::vector<Scenario> allScenarios()
{
    std::vector<Scenario> scenarios;
    addDaemonScenarios(scenarios);
    addBackendScenarios(scenarios);
    addPlatformScenarios(scenarios);
    addPartitionScenarios(scenarios);
    addOperatorScenarios(scenarios);
    return scenarios;
}

ScenarioOutcome runScenario(const Scenario &scenario, const TrialPaths &paths,
                            std::uint16_t firstPort, const WorkloadSpec &spec)
{
    ScenarioOutcome outcome;
    outcome.name = scenario.name;
    try {
        FleetPlan plan = loadFleetPlan(paths.deployment + "/fleet.yaml");
        if (scenario.adjustFleet) {
            scenario.adjustFleet(plan);
        }
        FleetOptions options;
        options.firstPort = firstPort;
        Trial trial(paths, options, plan);
        trial.start();
        WorkloadSpec adjusted = spec;
        if (scenario.adjustWorkload) {
            scenario.adjustWorkload(adjusted);
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
        if (!trial.waitUntilBilled(BillingTimeout)) {
            error += " bills were still pending at the end";
        }
        trial.collectEvidence();
        outcome.verdicts = Checker(trial.evidence()).check();
        trial.expectLimitedExposure();
        Verdict expectations{"expectations of the scenario itself", trial.expectationCount(),
                             trial.failedExpectations()};
        outcome.sent = trial.evidence().records.size();
        for (const RequestRecord &record : trial.evidence().records) {
            outcome.answered += record.answered ? 1 : 0;
            if (scenario.requiresAllAnswers && !record.answered) {
                expectations.violations.push_back(record.nonce + " was not answered");
            }
        }
        outcome.verdicts.push_back(expectations);
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
        << (outcome.passed() ? "green" : "RED") << "answered " << outcome.answered << " of "
        << outcome.sent << "\n";
    if (!outcome.error.empty()) {
        out << "    error: " << outcome.error << "\n";
    }
    for (const Verdict &verdict : outcome.verdicts) {
        for (std::size_t i = 0; i < std::min(MaxViolationsShown, verdict.violations.size()); ++i) {
            out << "    " << verdict.guarantee << ": " << verdict.violations[i] << "\n";
        }
        if (verdict.violations.size() > MaxViolationsShown) {
            out << "    and " << verdict.violations.size() - MaxViolationsShown << " more\n";
        }
    }
}

} // namespace lycheearch::trial
