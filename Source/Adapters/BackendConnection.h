#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "Adapters/Backend.h"
#include "Adapters/HttpResponseReader.h"
#include "Base/Error.h"

namespace lycheearch {

/// One connection to a backend server that never reconnects by itself. A restart of the server
/// breaks the connection, so a request on it cannot reach the restarted server unnoticed.
class BackendConnection
{
public:
    /// Connects. \p timeout bounds connecting and each later send and receive. Throws
    /// Poco::Exception.
    BackendConnection(const Endpoint &address, Duration timeout);
    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    /// Sets the longest wait for the next bytes.
    void setReceiveTimeout(Duration timeout);

    /// Sends a request with a JSON body and returns what reads its response, of which the body may
    /// have \p maxBodyBytes at most. It stays valid until the next call.
    HttpResponseReader &post(HttpRequestHead head, std::string_view body, std::size_t maxBodyBytes);

    /// Requests the server's load report on this connection. Throws Poco::Exception, also if the
    /// server announces that it closes the connection.
    BackendReport readReport();

    /// Time of the last load report that showed the expected state.
    TimePoint verifiedAt() const { return m_verifiedAt; }
    void setVerifiedAt(TimePoint now) { m_verifiedAt = now; }

private:
    HttpResponseReader &send(const HttpRequestHead &head, std::string_view body,
                             std::size_t maxBodyBytes);

    Endpoint m_address;
    Poco::Net::StreamSocket m_socket;
    std::optional<HttpResponseReader> m_reader; ///< Of the latest request's response.
    TimePoint m_verifiedAt;
};

/// Decodes the JSON of a load report. Throws Poco::DataFormatException.
BackendReport decodeBackendReport(const std::string &text);

} // namespace lycheearch
