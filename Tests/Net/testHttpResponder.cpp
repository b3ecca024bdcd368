#include <criterion/criterion.h>

#include <vector>

#include <unistd.h>

#include "ClientLimitCounter.h"
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
        loop, PagePort{"pages", listen},
        [](const HttpRequestHead &, TimePoint) {
            return CompleteHttpResponse{200, {}, "ready"};
        },
        unusedLimitObserver(), error);
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

Test(httpResponder, a_large_page_is_sent_whole_on_a_connection_that_closes, .timeout = 20)
{
    const SystemClock clock;
    EventLoop loop(clock);
    const Endpoint listen{"127.0.0.1", freePort()};
    const std::string page(12UL * 1024 * 1024, 'p');
    std::error_code error;
    HttpResponder responder(
        loop, PagePort{"pages", listen},
        [&](const HttpRequestHead &, TimePoint) {
            return CompleteHttpResponse{200, {}, page};
        },
        unusedLimitObserver(), error);
    cr_assert_not(error);
    HttpCallChannel channel(loop, listen, {1s, 1s, 2, 2s}, {1024, 2 * page.size()});
    HttpCall call;
    call.head.method = "GET";
    call.head.target = "/";
    call.head.fields.add("Connection", "close");
    call.timeout = 10s;
    std::size_t received = 0;
    call.callback = [&](std::error_code, const CompleteHttpResponse &response, TimePoint) {
        received = response.body.size();
        loop.stop();
    };
    channel.call(std::move(call));
    loop.run();
    cr_expect_eq(received, page.size());
}
