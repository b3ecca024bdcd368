#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <vector>

#include "Fleet.h"

// The daemon that leads a rollout is frozen while the new version turns bad.

using namespace review;

namespace {

constexpr int RunnersOfEach = 3;
constexpr int Daemons = 7;
constexpr long FinishMs = 24000;
constexpr long FreezeMs = 3500;
constexpr long FreezeBeforeEndMs = 4000;
constexpr long BadBeforeEndMs = 4700;
constexpr long AfterEndMs = 26000;
constexpr int RequestsPerSecond = 4;
/// Of so many requests to the bad version, so many fail: 0.57 of them.
constexpr int BadOf = 7;
constexpr int Bad = 4;
constexpr int DraftBudgetMs = 12000;
constexpr std::size_t MaxRequests = 1000;
constexpr long RollbackMs = 5000;
constexpr int BadAnswersOfRule = 50;

} // namespace

int main(int argc, char **argv)
{
    const Folders folders = Folders::from(argc, argv);
    Record record(folders.caseFolder / "record.txt");
    std::mutex mutex;
    std::string leader;
    std::string state;
    const auto onAppend = [&](const std::string &daemon, const std::string &topic,
                              const std::string &key, const std::string &value) {
        if (topic == "keyed.status") {
            const std::lock_guard lock(mutex);
            leader = daemon;
            state = value;
            record.line(daemon + " writes status/" + key + " " + value);
        } else if (key.starts_with("stage/")) {
            record.line(daemon + " writes its record " + key + " " + value);
        }
    };
    Fleet fleet(folders, record, Site(), Daemons, onAppend);

    std::atomic<bool> turnedBad = false;
    std::vector<std::atomic<long>> sentAt(MaxRequests); // Of the request with this number.
    std::atomic<int> sinceBad = -1;
    std::atomic<int> badAnswers = 0;
    std::atomic<long> fiftiethBadAt = -1;
    std::atomic<int> lateRequests = 0;
    std::atomic<int> targetRuns = 0;
    std::atomic<int> runs = 0;
    for (int i = 0; i < RunnersOfEach; ++i) {
        fleet.addRunner("pool", [&](const HttpMessage &request, Connection &connection) {
            ++runs;
            return answerStream(request, connection, 40, Milliseconds(100), Milliseconds(75));
        });
    }
    const auto answerOfTarget = [&](const HttpMessage &request, Connection &connection) {
        const std::string id = request.field("Attempt-Id");
        ++runs;
        ++targetRuns;
        const long fiftieth = fiftiethBadAt;
        const bool late =
            fiftieth >= 0 && sentAt.at(std::stoul(id.substr(1))) > fiftieth + RollbackMs;
        lateRequests += late ? 1 : 0;
        const bool bad = turnedBad && ++sinceBad % BadOf < Bad;
        record.line("v2 runs " + id + (bad ? ", answers 500" : "")
                    + (late ? ", sent too late after the 50th bad answer" : ""));
        if (!bad) {
            return answerStream(request, connection, 40, Milliseconds(100), Milliseconds(75));
        }
        std::this_thread::sleep_for(Milliseconds(50));
        if (++badAnswers == BadAnswersOfRule) {
            fiftiethBadAt = record.now();
            record.line("v2 has given its 50th bad answer");
        }
        return connection.write(answerWithBody(request, 500, "error"));
    };
    fleet.start();

    std::atomic<bool> ends = false;
    std::atomic<int> number = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    std::thread traffic([&] {
        while (!ends) {
            const int n = ++number;
            sentAt.at(static_cast<std::size_t>(n)) = record.now();
            clients.emplace_back([&, n] {
                Call draft;
                draft.id = "d" + std::to_string(n);
                draft.path = "/draft/1";
                draft.budgetMs = DraftBudgetMs;
                draft.fields = {{"Session", "s" + std::to_string(n)},
                                {"Model", "m1"},
                                {"Token-Count", "1460,80"},
                                {"Prompt-Prefix", "5c1e07a2:800,d" + std::to_string(n) + ":250"}};
                Daemon &daemon = fleet.daemon(static_cast<std::size_t>(n) % fleet.daemons());
                const Outcome outcome = call(daemon.front(), draft, Milliseconds(DraftBudgetMs));
                served += outcome.served() ? 1 : 0;
                record.line("draft " + draft.id + " at " + daemon.name() + ": " + outcome.text());
            });
            std::this_thread::sleep_for(Milliseconds(1000 / RequestsPerSecond));
        }
    });
    const auto sleepUntil = [&](long at) {
        std::this_thread::sleep_for(Milliseconds(std::max(0L, at - record.now())));
    };
    std::this_thread::sleep_for(Milliseconds(4000));
    for (int i = 0; i < RunnersOfEach; ++i) {
        fleet.addRunner("pool", answerOfTarget, "v2");
    }
    fleet.store().put("keyed.op", "rollout/pool",
                      "{\"Service\":\"pool\",\"Target\":\"v2\",\"FinishByS\":"
                          + std::to_string(FinishMs / 1000) + "}");
    const long end = record.now() + FinishMs;
    record.line("the operator orders v2");
    sleepUntil(end - BadBeforeEndMs);
    turnedBad = true;
    record.line("v2 turns bad");
    sleepUntil(end - FreezeBeforeEndMs);
    std::size_t frozen = 0;
    {
        const std::lock_guard lock(mutex);
        for (std::size_t i = 0; i < fleet.daemons(); ++i) {
            frozen = fleet.daemon(i).name() == leader ? i : frozen;
        }
    }
    if (!withoutTrouble()) {
        record.line(fleet.daemon(frozen).name() + " freezes");
        fleet.daemon(frozen).signal(SIGSTOP);
    }
    sleepUntil(end - FreezeBeforeEndMs + FreezeMs);
    if (!withoutTrouble()) {
        record.line(fleet.daemon(frozen).name() + " wakes");
        fleet.daemon(frozen).signal(SIGCONT);
    }
    sleepUntil(end + AfterEndMs);
    ends = true;
    traffic.join();
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string result = "final state " + state + "; v2 had " + std::to_string(targetRuns)
        + " of " + std::to_string(runs) + " requests, " + std::to_string(badAnswers)
        + " bad answers, " + std::to_string(lateRequests)
        + " requests sent later than RollbackMs after the 50th; " + std::to_string(served) + " of "
        + std::to_string(number) + " served";
    record.line(result);
    std::cout << result << std::endl;
    fleet.stop();
    std::_Exit(lateRequests > 0 ? 1 : 0);
}
