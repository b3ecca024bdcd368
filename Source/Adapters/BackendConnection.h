#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPClientSession.h>

#include "Adapters/Backend.h"
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
    ~BackendConnection();
    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    Poco::Net::HTTPClientSession &session();

    /// Sets the longest wait for the next bytes.
    void setReceiveTimeout(Duration timeout);

    /// Requests the server's load report on this connection. Throws Poco::Exception, also if the
    /// server announces that it closes the connection.
    BackendReport readReport();

    /// Time of the last load report that showed the expected state.
    TimePoint verifiedAt() const { return m_verifiedAt; }
    void setVerifiedAt(TimePoint now) { m_verifiedAt = now; }

private:
    class Session;
    std::unique_ptr<Session> m_session;
    TimePoint m_verifiedAt;
};

/// Decodes the JSON of a load report. Throws Poco::DataFormatException.
BackendReport decodeBackendReport(const std::string &text);

} // namespace lycheearch
