#pragma once

#include <map>
#include <string>

#include "Base/Endpoint.h"
#include "Base/Error.h"

namespace lycheearch {

/// A complete response.
struct HttpResponse
{
    int status = 0;
    std::string body;
};

/// A request whose body, like that of its response, is small enough to be held in memory.
struct HttpRequest
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string bearer; ///< Bearer token; empty for none.
};

/// Sends each request on a new connection and never retries. Failures are PlatformUnavailable;
/// their run state is NotRun only if no byte of the request was sent, so that callers can retry
/// safely.
class HttpClient
{
public:
    /// \p timeout bounds connecting, and each wait to send or receive.
    HttpClient(Endpoint address, Duration timeout);

    Result<HttpResponse> send(const HttpRequest &request) const;
    /// As send(), with another timeout.
    Result<HttpResponse> send(const HttpRequest &request, Duration timeout) const;

private:
    Endpoint m_address;
    Duration m_timeout;
};

} // namespace lycheearch
