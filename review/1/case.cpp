#include <algorithm>
#include <iostream>
#include <map>

#include "Deployment.h"

// Streams of a route that is not resumable, of which a few are broken off inside an event.

namespace lycheearch::review {
namespace {

constexpr Duration LoadTime = 20s;
constexpr Duration RequestPeriod = 25ms;
constexpr Duration TimeLimit = 8s;
constexpr Duration EventInterval = 20ms;
constexpr int EventsPerStream = 6;
/// Half of the runners break off 2 in 100 of their answers.
constexpr int BreakOffPeriod = 50;
constexpr int Ok = 200;
constexpr int Unavailable = 503;

std::string event(const std::string &runner, int number)
{
    return "id: " + std::to_string(number) + "\ndata: made by " + runner + "\n\n";
}

class Case
{
public:
    Case(const CaseOptions &options)
        : m_options(options)
        , m_loop(m_clock)
        , m_record(options.record)
        , m_deployment(m_loop, m_record, options)
    {
    }

    int run()
    {
        m_deployment.publishConfig(
            {{{"Name", "drafts"},
              {"Host", Deployment::Host},
              {"PathPrefix", "/drafts/"},
              {"Kind", "stream"},
              {"TimeoutMs", 8000},
              {"TargetLatencyMs", 3000},
              {"GapAimMs", 800},
              {"Priority", 0},
              {"Service", "pool"},
              {"MaxAttempts", 3},
              {"Public", false},
              {"Resumable", false}}},
            {{{"Name", "pool"}, {"HealthPath", "/health"}, {"MaxConns", 300}}});
        for (const char *zone : {"zone-a", "zone-b"}) {
            for (const bool faulty : {false, true}) {
                m_deployment.addRunner("pool", zone,
                                       [this, faulty](const Runner &runner, const auto &connection,
                                                      const ReceivedRequest &request) {
                                           answer(runner, faulty, connection, request);
                                       });
            }
            m_deployment.addDaemon(zone);
        }
        if (!m_deployment.waitUntilReady()) {
            std::cerr << "the daemons are not ready\n";
            return CouldNotRun;
        }
        const TimePoint end = m_loop.now() + LoadTime;
        while (m_loop.now() < end) {
            sendRequest();
            m_deployment.runFor(RequestPeriod);
        }
        m_deployment.runFor(TimeLimit);
        return judge();
    }

private:
    void answer(const Runner &runner, bool faulty, const Runner::Connection &connection,
                const ReceivedRequest &request)
    {
        m_runs[request.id].push_back(runner.id());
        const bool breakOff =
            m_options.trouble && faulty && runner.count() % BreakOffPeriod == BreakOffPeriod - 1;
        // Neither a length nor chunks: the answer ends with its connection.
        HttpFields fields = Runner::answerFields(request);
        fields.add("Content-Type", "text/event-stream");
        fields.add("Connection", "close");
        connection->send(serializeResponseHead(Ok, "OK", fields));
        const int whole = breakOff ? (++m_brokenOff % 2 == 0 ? 3 : 0) : EventsPerStream;
        for (int number = 1; number <= whole; ++number) {
            m_loop.at(m_loop.now() + number * EventInterval,
                      [=, id = runner.id()](TimePoint) { connection->send(event(id, number)); });
        }
        m_loop.at(m_loop.now() + (whole + 1) * EventInterval,
                  [=, this, id = runner.id()](TimePoint) {
                      if (connection->closed()) {
                          return;
                      }
                      if (breakOff) {
                          const std::string part = event(id, whole + 1);
                          connection->send(part.substr(0, part.size() / 2));
                          m_record.write("runner " + id + " breaks off " + request.id
                                         + " inside event " + std::to_string(whole + 1));
                      }
                      connection->close();
                  });
    }

    void sendRequest()
    {
        const std::string id = "a" + std::to_string(++m_sent);
        const auto &daemons = m_deployment.daemons();
        const DaemonNode &daemon = *daemons[static_cast<std::size_t>(m_sent) % daemons.size()];
        Request request;
        request.target = "/drafts/summary";
        request.fields = Deployment::requestFields(id, TimeLimit);
        request.body = "draft " + id;
        request.timeLimit = TimeLimit;
        m_record.write("client sends " + id + " to " + daemon.name);
        m_deployment.client().send(daemon.front, request, [this, id](const Answer &answer) {
            m_record.write("client got " + std::to_string(answer.status) + " for " + id + ", "
                           + std::to_string(answer.body.size()) + " bytes, "
                           + (answer.complete ? "complete" : "broken off"));
            m_answers[id] = answer;
        });
    }

    /// Whether the answer has pieces of more than one run.
    static bool isJoined(const Answer &answer, const std::vector<std::string> &runners)
    {
        return std::count_if(runners.begin(), runners.end(),
                             [&](const std::string &runner) {
                                 return answer.body.find("made by " + runner + "\n")
                                     != std::string::npos;
                             })
            > 1;
    }

    int judge()
    {
        int twice = 0;
        int joined = 0;
        int refused = 0;
        for (const auto &[id, runners] : m_runs) {
            const Answer &answer = m_answers[id];
            if (runners.size() > 1) {
                ++twice;
                m_record.write("TWICE: " + id + " was run by " + runners[0] + " and " + runners[1]);
            }
            if (isJoined(answer, runners)) {
                ++joined;
                m_record.write("ORDER: the answer to " + id + " has pieces of two runs");
            }
            if (answer.status == Unavailable) {
                ++refused;
                m_record.write("REFUSED: " + id + " was run and answered 503");
            }
        }
        const std::string summary = std::to_string(m_sent) + " requests, "
            + std::to_string(m_brokenOff) + " broken off by a runner, " + std::to_string(twice)
            + " run twice, " + std::to_string(joined) + " with pieces of two runs, "
            + std::to_string(refused) + " run and refused";
        m_record.write(summary);
        std::cout << summary << "\n";
        if (twice + joined + refused > 0) {
            return RuleBroken;
        }
        const bool played = m_options.trouble == (m_brokenOff > 0)
            && m_answers.size() == static_cast<std::size_t>(m_sent);
        return played ? RuleHeld : CouldNotRun;
    }

    CaseOptions m_options;
    SystemClock m_clock;
    EventLoop m_loop;
    Record m_record;
    Deployment m_deployment;
    std::map<std::string, std::vector<std::string>> m_runs; ///< Runners, by request.
    std::map<std::string, Answer> m_answers;
    int m_sent = 0;
    int m_brokenOff = 0;
};

} // namespace
} // namespace lycheearch::review

int main(int argc, char **argv)
{
    using namespace lycheearch;
    trial::ChildProcess::killAllOnSignal();
    try {
        return review::Case(review::CaseOptions::parse(argc, argv)).run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return review::CouldNotRun;
    }
}
