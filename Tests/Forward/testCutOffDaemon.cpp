#include "Forward/ForwardHarness.h"

using namespace lycheearch;

namespace {

using Connection = ScriptedBackend::Connection;

constexpr int Servers = 6;

Route idempotentRoute()
{
    Route route;
    route.kind = RouteKind::Idempotent;
    route.timeout = 2s;
    route.latencyObjective = 500ms;
    route.maxAttempts = 3;
    return route;
}

/// A daemon whose links to all servers can be cut: open connections are reset with the next
/// request, new ones are refused.
struct CutHarness : ForwardHarness
{
    CutHarness()
    {
        publishRoute(idempotentRoute());
        for (int i = 0; i < Servers; ++i) {
            addBackend([this](Connection &connection, const std::string &request) {
                if (cut) {
                    connection.close();
                } else {
                    connection.send(
                        response(200, "Response-Seal: seal\r\n", "hello", idOf(request)));
                }
            });
        }
    }

    static std::string idOf(const std::string &request)
    {
        const std::string field = "Attempt-Id: ";
        const std::size_t start = request.find(field) + field.size();
        return request.substr(start, request.find("\r\n", start) - start);
    }

    /// Sends a request with a new id and returns the status of its response.
    int send(const std::string &body)
    {
        std::string bytes = request("POST", "", body);
        bytes.replace(bytes.find("q1"), 2, "q" + std::to_string(++sent));
        return statusOf(call(bytes));
    }

    void cutLinks()
    {
        cut = true;
        for (const auto &backend : backends) {
            backend->stopListening();
        }
    }

    void restoreLinks()
    {
        cut = false;
        for (const auto &backend : backends) {
            backend->listenAgain();
        }
    }

    bool cut = false;
    int sent = 0;
};

} // namespace

Test(requestForwarder, a_cut_link_does_not_condemn_requests_that_were_under_way, .timeout = 30)
{
    CutHarness harness;
    constexpr int warmUpCalls = 40;
    for (int i = 0; i < warmUpCalls; ++i) {
        cr_expect_eq(harness.send("known"), 200);
    }
    harness.cutLinks();
    constexpr int callsDuringCut = 6;
    for (int i = 0; i < callsDuringCut; ++i) {
        cr_expect_neq(harness.send("new"), 200);
    }
    harness.restoreLinks();
    harness.runLoop(2s);
    cr_expect_eq(harness.send("new"), 200);
}
