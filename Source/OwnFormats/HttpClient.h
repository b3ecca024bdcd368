#pragma once

#include <map>
#include <string>

#include "Base/Endpoint.h"
#include "Base/Error.h"

namespace lycheearch {

/// A whole answer.
struct HttpResponse
{
    int status = 0;
    std::string body;
};

/// A request of a small message that is answered by a small message.
struct HttpRequest
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string bearer; ///< Empty: none.
};

/// Sends one request on a new connection. The failure's run state is NotRun only if no byte of
/// the request was sent.
class HttpClient
{
public:
    HttpClient(Endpoint address, Duration timeout);

    Result<HttpResponse> send(const HttpRequest &request) const;
    /// As send(), with another time limit.
    Result<HttpResponse> send(const HttpRequest &request, Duration timeout) const;

private:
    Endpoint m_address;
    Duration m_timeout;
};

} // namespace lycheearch
