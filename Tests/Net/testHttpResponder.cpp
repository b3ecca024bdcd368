#include <criterion/criterion.h>

#include <vector>

#include <unistd.h>

#include "FreePort.h"
#include "Mocks.h"
#include "Net/HttpResponder.h"
#include "Net/Socket.h"

using namespace lycheearch;

Test(httpResponder, idle_connections_do_not_block_new_clients, .timeout = 20)
{
    const SystemClock clock;
    EventLoop loop(clock);
    const Endpoint listen{"127.0.0.1", freePort()};
    std::error_code error;
    HttpResponder responder(
        loop, listen,
        [](const HttpRequestHead &, TimePoint) {
            return CompleteHttpResponse{200, {}, "ready"};
        },
        error);
    cr_assert_not(error);
    std::vector<int> idleFds;
    for (int i = 0; i < 300; ++i) {
        idleFds.push_back(connectTcp(listen, error));
        loop.at(loop.now() + 1ms, [&](TimePoint) { loop.stop(); });
        loop.run();
        loop.resume();
        // One byte per connection, never a complete request.
        (void)!write(idleFds.back(), "G", 1);
    }
    HttpCallChannel channel(loop, listen, {1s, 1s, 2, 2s}, {1024, 1024});
    HttpCall call;
    call.head.method = "GET";
    call.head.target = "/";
    call.timeout = 1s;
    int status = 0;
    call.callback = [&](std::error_code, const CompleteHttpResponse &response, TimePoint) {
        status = response.status;
        loop.stop();
    };
    channel.call(std::move(call));
    loop.run();
    cr_expect_eq(status, 200);
    for (const int fd : idleFds) {
        close(fd);
    }
}
