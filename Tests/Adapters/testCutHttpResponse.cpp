#include <criterion/criterion.h>

#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "Adapters/HttpClient.h"

// Responses of the product's own services that stop at any place.

using namespace lycheearch;

namespace {

/// Serves one connection: reads the request and sends \p response.
class OneResponse
{
public:
    explicit OneResponse(std::string response)
        : m_response(std::move(response))
    {
        m_listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        m_listener.listen();
        m_thread = std::thread([this] { serve(); });
    }
    ~OneResponse() { m_thread.join(); }

    Endpoint address() { return {"127.0.0.1", m_listener.address().port()}; }

private:
    void serve()
    {
        Poco::Net::StreamSocket connection = m_listener.acceptConnection();
        std::string request;
        char buffer[1024];
        while (request.find("\r\n\r\n{}") == std::string::npos) {
            const int count = connection.receiveBytes(buffer, sizeof(buffer));
            request.append(buffer, static_cast<std::size_t>(count));
        }
        if (!m_response.empty()) {
            connection.sendBytes(m_response.data(), static_cast<int>(m_response.size()));
        }
        connection.shutdownSend();
        connection.receiveBytes(buffer, sizeof(buffer));
    }

    std::string m_response;
    Poco::Net::ServerSocket m_listener;
    std::thread m_thread;
};

Result<HttpResponse> sendTo(const std::string &response)
{
    OneResponse server(response);
    return HttpClient(server.address(), 2s).send({"POST", "/x", "{}", "key"});
}

} // namespace

// A response that stopped in the middle of its head, or between two chunks, passed for a whole one.
Test(httpClient, a_response_that_is_cut_anywhere_is_a_failure, .timeout = 60)
{
    const std::vector<std::string> responses = {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 0\r\nX-B: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    };
    for (const std::string &response : responses) {
        for (std::size_t length = 0; length < response.size(); ++length) {
            const auto answer = sendTo(response.substr(0, length));
            cr_expect_not(answer.ok(), "cut after '%s'", response.substr(0, length).c_str());
            if (!answer.ok()) {
                cr_expect(answer.failure().run == RunState::Unknown);
            }
        }
        const auto whole = sendTo(response);
        cr_assert(whole.ok(), "%s", whole.failure().message.c_str());
        cr_expect_eq(whole.value().status, 200);
        const bool empty = response.find("Content-Length: 0") != std::string::npos;
        cr_expect_str_eq(whole.value().body.c_str(), empty ? "" : "hello");
    }
}

Test(httpClient, a_response_without_length_ends_with_its_connection, .timeout = 20)
{
    const auto answer = sendTo("HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nhello");
    cr_assert(answer.ok());
    cr_expect_str_eq(answer.value().body.c_str(), "hello");
}
