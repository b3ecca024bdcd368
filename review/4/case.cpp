#include <iostream>

#include "Deployment.h"

// A request crashes each runner that begins to run it, and comes again.

namespace lycheearch::review {
namespace {

constexpr int Daemons = 4;
constexpr int Runners = 6;
constexpr Duration LoadTime = 30s;
constexpr Duration RequestPeriod = 25ms;
constexpr Duration DeadlyFrom = 3s;
constexpr Duration DeadlyPeriod = 1s;
constexpr Duration RestartTime = 3s;
constexpr Duration ContactTime = 3s;
constexpr Duration TimeLimit = 8s;
constexpr Duration EventInterval = 30ms;
constexpr int EventsPerStream = 5;
constexpr int CrashesBeforeBound = 3;
constexpr int MaxRetries = 3;
constexpr int Ok = 200;
constexpr const char *DeadlyBody = "a prompt that crashes its runner";

class Case
{
public:
    explicit Case(const CaseOptions &options)
        : m_options(options)
        , m_loop(m_clock)
        , m_record(options.record)
        , m_deployment(m_loop, m_record, options)
    {
    }

    int run()
    {
        m_deployment.publishConfig({{{"Name", "drafts"},
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
                                     {"Sticky", true},
                                     {"Resumable", true}}},
                                   {{{"Name", "pool"},
                                     {"HealthPath", "/health"},
                                     {"MaxConns", 360},
                                     {"Engine",
                                      {{"Slots", 64},
                                       {"KvCapacityTokens", 452332},
                                       {"Stride", 5},
                                       {"Models", {{{"Name", "m0"}, {"Cost", 0.1}}}}}}}});
        for (int i = 0; i < Runners; ++i) {
            m_deployment.addRunner(
                "pool", i % 2 == 0 ? "zone-a" : "zone-b",
                [this](Runner &runner, const auto &connection, const ReceivedRequest &request) {
                    answer(runner, connection, request);
                });
        }
        for (int i = 0; i < Daemons; ++i) {
            m_deployment.addDaemon(i % 2 == 0 ? "zone-a" : "zone-b");
        }
        if (!m_deployment.waitUntilReady()) {
            std::cerr << "the daemons are not ready\n";
            return CouldNotRun;
        }
        const TimePoint start = m_loop.now();
        if (m_options.trouble) {
            for (Duration at = DeadlyFrom; at < LoadTime; at += DeadlyPeriod) {
                m_loop.at(start + at, [this](TimePoint) { sendRequest(DeadlyBody); });
            }
        }
        while (m_loop.now() < start + LoadTime) {
            sendRequest("draft " + std::to_string(m_sent));
            m_deployment.runFor(RequestPeriod);
        }
        m_deployment.runFor(TimeLimit);
        return judge();
    }

private:
    void answer(Runner &runner, const Runner::Connection &connection,
                const ReceivedRequest &request)
    {
        if (request.body == DeadlyBody) {
            onDeadly(runner, request);
            return;
        }
        HttpFields fields = Runner::answerFields(request);
        fields.add("Transfer-Encoding", "chunked");
        connection->send(serializeResponseHead(Ok, "OK", fields));
        const std::string last = request.field("Last-Event-Id");
        const int from = last.empty() ? 1 : std::stoi(last) + 1;
        for (int number = from; number <= EventsPerStream; ++number) {
            m_loop.at(m_loop.now() + (number - from + 1) * EventInterval, [=](TimePoint) {
                connection->send(serializeChunk("id: " + std::to_string(number) + "\ndata: x\n\n"));
                if (number == EventsPerStream) {
                    connection->send(LastChunk);
                    connection->finish();
                }
            });
        }
    }

    void onDeadly(Runner &runner, const ReceivedRequest &request)
    {
        const TimePoint now = m_loop.now();
        ++m_crashes;
        if (m_crashes == CrashesBeforeBound) {
            m_boundFrom = now + ContactTime;
        }
        if (m_crashes > CrashesBeforeBound && now > m_boundFrom) {
            ++m_retries;
            m_record.write("retry " + std::to_string(m_retries) + " of the deadly request, "
                           + request.id + ", reaches " + runner.id()
                           + " later than ContactMs after the third crash");
        }
        runner.crash();
        m_loop.at(now + RestartTime, [&runner](TimePoint) { runner.restart(Duration::zero()); });
    }

    void sendRequest(const std::string &body)
    {
        const std::string id = "d" + std::to_string(++m_sent);
        const bool deadly = body == DeadlyBody;
        const auto &daemons = m_deployment.daemons();
        const DaemonNode &daemon = *daemons[static_cast<std::size_t>(m_sent) % daemons.size()];
        Request request;
        request.target = "/drafts/summary";
        request.fields = Deployment::requestFields(id, TimeLimit);
        request.fields.add("Model", "m0");
        request.fields.add("Token-Count", "1050,25");
        // The last part belongs to the request itself.
        request.fields.add("Prompt-Prefix", "5c1e07a2:800,e44" + std::to_string(m_sent) + ":250");
        request.body = body;
        request.timeLimit = TimeLimit;
        if (deadly) {
            m_record.write("client sends the deadly request again, as " + id + ", to "
                           + daemon.name);
        }
        m_deployment.client().send(daemon.front, request, [this, id, deadly](const Answer &answer) {
            if (deadly || answer.status != Ok || !answer.complete) {
                m_record.write("client got " + std::to_string(answer.status) + " for " + id);
            }
            ++m_answers;
            m_lost += !deadly && (answer.status != Ok || !answer.complete) ? 1 : 0;
        });
    }

    int judge()
    {
        const std::string summary = std::to_string(m_sent) + " requests, "
            + std::to_string(m_crashes) + " crashes, " + std::to_string(m_retries)
            + " retries later than ContactMs after the third (bound " + std::to_string(MaxRetries)
            + "), " + std::to_string(m_lost) + " sound requests failed";
        m_record.write(summary);
        std::cout << summary << "\n";
        if (m_retries > MaxRetries) {
            return RuleBroken;
        }
        return m_answers == m_sent && m_options.trouble == (m_crashes > 0) ? RuleHeld : CouldNotRun;
    }

    CaseOptions m_options;
    SystemClock m_clock;
    EventLoop m_loop;
    Record m_record;
    Deployment m_deployment;
    TimePoint m_boundFrom;
    int m_crashes = 0;
    int m_retries = 0;
    int m_sent = 0;
    int m_answers = 0;
    int m_lost = 0;
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
