#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Base/Endpoint.h"
#include "Net/EventLoop.h"
#include "Net/HttpParser.h"
#include "Net/StreamSocket.h"

namespace lycheearch::review {

/// What a client got for one request.
struct Answer
{
    int status = 0; ///< 0 if no head of an answer arrived.
    bool complete = false;
    HttpFields fields;
    std::string body;
};

/// A request of a client.
struct Request
{
    std::string method = "POST";
    std::string target;
    HttpFields fields;
    std::string body;
    Duration timeLimit = 5s;
};

/// Sends requests, each on a connection of its own, and collects the answers. A connection is
/// closed after the answer, or after the time limit of the request.
class Client
{
public:
    using Callback = std::function<void(const Answer &answer)>;

    explicit Client(EventLoop &loop);
    ~Client();

    void send(const Endpoint &server, const Request &request, Callback callback);
    std::size_t pending() const { return m_exchanges.size(); }

private:
    class Exchange;

    void remove(const Exchange &exchange);

    EventLoop &m_loop;
    std::map<const Exchange *, std::shared_ptr<Exchange>> m_exchanges;
};

} // namespace lycheearch::review
