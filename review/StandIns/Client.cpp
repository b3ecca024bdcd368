#include "Client.h"

#include "Net/Socket.h"

namespace lycheearch::review {

namespace {

constexpr HttpLimits Limits{64UL * 1024, 8UL * 1024 * 1024};

} // namespace

class Client::Exchange : public StreamSocketListener, public HttpResponseSink
{
public:
    Exchange(Client &client, int fd, Duration timeLimit, Callback callback)
        : m_client(client)
        , m_socket(client.m_loop, fd, StreamSocket::Start::Connecting, *this)
        , m_parser(Limits, false, *this)
        , m_callback(std::move(callback))
    {
        m_timer = client.m_loop.at(client.m_loop.now() + timeLimit, [this](TimePoint) {
            m_timer = TimerId();
            end();
        });
    }
    ~Exchange() override { m_client.m_loop.cancel(m_timer); }

    void send(std::string_view bytes) { m_socket.send(bytes); }

private:
    void onBytes(std::string_view bytes, TimePoint) override
    {
        m_input.append(bytes);
        m_parser.feed(m_input);
        if (m_parser.complete() || m_parser.parseError() != HttpParseError::None) {
            end();
        }
    }
    void onEnd(TimePoint) override
    {
        m_parser.finish();
        end();
    }
    void onError(std::error_code, TimePoint) override { end(); }
    void onResponseHead(HttpResponseHead head) override
    {
        m_answer.status = head.status;
        m_answer.fields = std::move(head.fields);
    }
    void onResponseBody(std::string_view bytes) override { m_answer.body.append(bytes); }

    void end()
    {
        if (!m_callback) {
            return;
        }
        m_answer.complete = m_parser.complete();
        m_client.m_loop.cancel(m_timer);
        m_socket.close();
        const Callback callback = std::exchange(m_callback, nullptr);
        m_client.remove(*this);
        callback(m_answer);
    }

    Client &m_client;
    StreamSocket m_socket;
    HttpResponseParser m_parser;
    Callback m_callback;
    std::string m_input;
    Answer m_answer;
    TimerId m_timer;
};

Client::Client(EventLoop &loop)
    : m_loop(loop)
{
}

Client::~Client() = default;

void Client::send(const Endpoint &server, const Request &request, Callback callback)
{
    std::error_code error;
    const int fd = connectTcp(server, error);
    if (fd < 0) {
        m_loop.defer([callback = std::move(callback)] { callback(Answer()); });
        return;
    }
    auto exchange = std::make_shared<Exchange>(*this, fd, request.timeLimit, std::move(callback));
    HttpRequestHead head;
    head.method = request.method;
    head.target = request.target;
    head.fields = request.fields;
    if (request.method != "GET") {
        head.fields.set("Content-Length", std::to_string(request.body.size()));
    }
    exchange->send(serializeRequestHead(head) + request.body);
    m_exchanges.emplace(exchange.get(), exchange);
}

void Client::remove(const Exchange &exchange)
{
    const auto found = m_exchanges.find(&exchange);
    if (found != m_exchanges.end()) {
        m_loop.defer([ended = std::move(found->second)] {});
        m_exchanges.erase(found);
    }
}

} // namespace lycheearch::review
