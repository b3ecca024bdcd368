#include <criterion/criterion.h>

#include <Poco/Net/ServerSocket.h>

#include "Adapters/BackendConnection.h"
#include "Adapters/HttpClient.h"

using namespace lycheearch;

namespace {

/// Listens without accepting, so that connections stay in the backlog and get no response.
Endpoint silentServer(Poco::Net::ServerSocket &socket)
{
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    socket.listen();
    return {"127.0.0.1", socket.address().port()};
}

} // namespace

Test(silentServer, http_client_times_out_with_unknown_run_state, .timeout = 20)
{
    Poco::Net::ServerSocket socket;
    const auto answer = HttpClient(silentServer(socket), 200ms).send({"POST", "/x", "{}", ""});
    cr_assert_not(answer.ok());
    cr_expect(answer.failure().run == RunState::Unknown);
}

Test(silentServer, load_report_times_out, .timeout = 20)
{
    Poco::Net::ServerSocket socket;
    BackendConnection connection(silentServer(socket), 200ms);
    cr_expect_throw(connection.readReport(), Poco::Exception);
}
