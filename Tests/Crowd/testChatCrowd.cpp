#include <criterion/criterion.h>

#include <iostream>

#include "Crowd.h"
#include "PortLock.h"
#include "ProcessWatch.h"
#include "Trial.h"

using namespace lycheearch;
using namespace lycheearch::crowd;
using namespace lycheearch::trial;

// Clients that don't behave, on the port of the chat-completions daemon. The crowds stay connected
// while the daemon is checked.

namespace {

constexpr std::uint16_t FirstPort = 26200;
constexpr std::size_t Megabyte = 1024UL * 1024;
constexpr std::size_t MaxBodyBytes = Megabyte;
constexpr std::int64_t MemoryLimitBytes = 256L * 1024 * 1024;
constexpr std::size_t DescriptorLimit = 256;
constexpr Duration HoldTime = 1s;
constexpr Duration AnswerLimit = 10s;
constexpr int OrdinaryTries = 8;
constexpr int Ok = 200;

/// One chat-completions daemon with 16 threads for callers, with a simulated platform.
class ChatProcess
{
public:
    ChatProcess()
        : m_ports(FirstPort)
        , m_trial(paths(), options(), plan())
    {
        m_trial.startUnmonitored();
        m_watch = std::make_unique<ProcessWatch>(daemon().process->id(),
                                                 std::set<std::uint16_t>{daemon().address.port});
    }

    Endpoint address() { return daemon().address; }

    /// Checks that the process lives, that it never held more than the bounds above, and that it
    /// answers an ordinary request now.
    void expectHealthy()
    {
        const bool served = servesOrdinaryRequest();
        cr_expect(daemon().process->running(), "the process has ended");
        cr_expect(served, "no ordinary request is answered");
        const std::int64_t memory = m_watch->mostMemory();
        std::cerr << "held: " << memory / (1024 * 1024) << " MiB\n";
        cr_expect(memory <= MemoryLimitBytes, "%ld bytes held", static_cast<long>(memory));
        cr_expect(m_watch->mostDescriptors() <= DescriptorLimit, "%zu descriptors",
                  m_watch->mostDescriptors());
    }

private:
    static TrialPaths paths()
    {
        const std::string build = LYCHEEARCH_BUILD_DIR;
        return {build, std::string(LYCHEEARCH_SOURCE_DIR) + "/Utilities/Deployments/sitara",
                build + "/test-crowd-chat"};
    }
    static FleetOptions options()
    {
        FleetOptions options;
        options.firstPort = FirstPort;
        options.proxied = false;
        options.extraSettings = "limits:\n  caller_threads: 16\n  max_body_bytes: "
            + std::to_string(MaxBodyBytes) + "\n";
        return options;
    }
    static FleetPlan plan()
    {
        FleetPlan plan = loadFleetPlan(std::string(LYCHEEARCH_SOURCE_DIR)
                                       + "/Utilities/Deployments/sitara/fleet.yaml");
        plan.dataCentres = {{"lahore-a", 1}};
        return plan;
    }
    FleetDaemon &daemon() { return m_trial.fleet().daemons().front(); }
    bool servesOrdinaryRequest()
    {
        const std::string body =
            R"({"model":"drafting","max_tokens":5,"messages":[{"role":"user","content":"hello"}]})";
        const std::string text = request("POST", "/v1/chat/completions",
                                         "Authorization: Bearer demo-key-multan\r\n", body);
        for (int i = 0; i < OrdinaryTries; ++i) {
            if (statusOf(address(), text, AnswerLimit) == Ok) {
                return true;
            }
            Crowd::hold(500ms);
        }
        return false;
    }

    PortLock m_ports;
    Trial m_trial;
    std::unique_ptr<ProcessWatch> m_watch;
};

std::string chatRequest(const std::string &body)
{
    return request("POST", "/v1/chat/completions", "Authorization: Bearer stranger\r\n", body);
}

/// A head that announces a body of \p bodyBytes.
std::string chatHead(std::size_t bodyBytes)
{
    return request("POST", "/v1/chat/completions",
                   "Authorization: Bearer stranger\r\nContent-Length: " + std::to_string(bodyBytes)
                       + "\r\n");
}

} // namespace

Test(chatCrowd, idle_connections, .timeout = 240)
{
    ChatProcess chat;
    Crowd crowd(chat.address(), 200);
    crowd.hold(HoldTime);
    chat.expectHealthy();
}

Test(chatCrowd, connections_kept_after_an_answer, .timeout = 240)
{
    ChatProcess chat;
    Crowd crowd(chat.address(), 64);
    crowd.send({request("GET", "/v1/models", "")});
    crowd.hold(HoldTime);
    chat.expectHealthy();
}

Test(chatCrowd, heads_that_stop_short_of_their_end, .timeout = 240)
{
    ChatProcess chat;
    Crowd crowd(chat.address(), 200);
    crowd.send(
        {"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nFiller: " + std::string(4096, 'f')});
    crowd.hold(HoldTime);
    chat.expectHealthy();
}

Test(chatCrowd, large_bodies_that_stop_short_of_their_end, .timeout = 240)
{
    ChatProcess chat;
    Crowd crowd(chat.address(), 200);
    crowd.send({chatHead(MaxBodyBytes) + std::string(MaxBodyBytes - 1, ' ')}, 16UL * 1024);
    crowd.hold(HoldTime);
    chat.expectHealthy();
}

Test(chatCrowd, a_deeply_nested_body, .timeout = 240)
{
    ChatProcess chat;
    const std::size_t depth = MaxBodyBytes / 2 - 64;
    const std::string body = R"({"model":"drafting","messages":[)" + std::string(depth, '[')
        + std::string(depth, ']') + "]}";
    Crowd crowd(chat.address(), 4);
    crowd.send({chatRequest(body)});
    crowd.hold(HoldTime);
    chat.expectHealthy();
}

Test(chatCrowd, bodies_of_many_small_values, .timeout = 240)
{
    ChatProcess chat;
    std::string body = R"({"model":"drafting","messages":[)";
    while (body.size() + 16 < MaxBodyBytes) {
        body += "{},";
    }
    body += "{}]}";
    Crowd crowd(chat.address(), 64);
    crowd.send({chatRequest(body)});
    crowd.hold(HoldTime);
    chat.expectHealthy();
}

Test(chatCrowd, requests_sent_ahead_with_their_answers_unread, .timeout = 240)
{
    ChatProcess chat;
    Crowd crowd(chat.address(), 32);
    crowd.send({request("GET", "/v1/models", ""), 8 * Megabyte});
    crowd.hold(HoldTime);
    chat.expectHealthy();
}
