#include <criterion/criterion.h>

#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "ForwardHarness.h"

using namespace lycheearch;

using Connection = ScriptedBackend::Connection;

namespace {

constexpr std::size_t MaxConnections = 3;

Route plainRoute()
{
    Route route;
    route.kind = RouteKind::Idempotent;
    route.timeout = 3s;
    route.latencyObjective = 1s;
    route.maxAttempts = 2;
    return route;
}

/// Connections that are open and send nothing but what a test says.
class Clients
{
public:
    Clients(ForwardHarness &harness, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            std::error_code error;
            m_fds.push_back(connectTcp({"127.0.0.1", harness.firstPort}, error));
            harness.runLoop(20ms);
        }
    }
    ~Clients()
    {
        for (const int fd : m_fds) {
            close(fd);
        }
    }
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

    void send(std::size_t client, const std::string &text) const
    {
        (void)!write(m_fds.at(client), text.data(), text.size());
    }
    bool ended(std::size_t client) const
    {
        char byte = 0;
        return recv(m_fds.at(client), &byte, 1, MSG_DONTWAIT) == 0;
    }

private:
    std::vector<int> m_fds;
};

} // namespace

Test(connectionLimit, a_new_connection_takes_the_place_of_the_one_that_is_idle_longest,
     .timeout = 20)
{
    ForwardHarness harness;
    harness.maxConnections = MaxConnections;
    harness.publishRoute(plainRoute());
    harness.addBackend([](Connection &connection, const std::string &) {
        connection.send(ForwardHarness::sealedResponse(200, "done"));
    });
    harness.startServer();
    const Clients clients(harness, MaxConnections);
    const std::string response = harness.call(ForwardHarness::request("POST", "", "body"));
    cr_expect_eq(ForwardHarness::statusOf(response), 200);
    cr_expect(clients.ended(0));
    cr_expect_not(clients.ended(1));
    cr_expect_eq(harness.limitCounter.events.size(), 1);
    cr_expect_eq(harness.limitCounter.events.front(), "callers: too many connections");
}

Test(connectionLimit, a_stalled_request_gives_way_before_idle_connections, .timeout = 20)
{
    ForwardHarness harness;
    harness.maxConnections = MaxConnections;
    harness.publishRoute(plainRoute());
    harness.startServer();
    const Clients clients(harness, MaxConnections);
    clients.send(2, "POST /a/ HTTP/1.1\r\nHost: h.ex");
    harness.runLoop(700ms);
    const Clients another(harness, 1);
    cr_expect(clients.ended(2) && !clients.ended(0) && !clients.ended(1));
}

Test(connectionLimit, requests_in_service_are_kept_and_the_new_connection_is_closed, .timeout = 20)
{
    ForwardHarness harness;
    harness.maxConnections = 1;
    harness.publishRoute(plainRoute());
    harness.addBackend([](Connection &, const std::string &) {});
    harness.startServer();
    const Clients clients(harness, 1);
    clients.send(0, ForwardHarness::request("POST", "", "body"));
    harness.runLoop(100ms);
    const Clients another(harness, 1);
    cr_expect_not(clients.ended(0));
    cr_expect_eq(harness.limitCounter.events.back(), "callers: too many requests in service");
}
