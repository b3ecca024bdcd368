#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPClientSession.h>

#include "Base/Error.h"
#include "OwnFormats/Backend.h"

namespace lycheearch {

/// One connection to a backend server that never reconnects by itself. A server that restarted
/// has lost the connection, so a request on it cannot reach a server in another state unnoticed.
class BackendConnection
{
public:
    /// Connects. Throws Poco::Exception.
    BackendConnection(const Endpoint &address, Duration timeout);
    ~BackendConnection();
    BackendConnection(const BackendConnection &) = delete;
    BackendConnection &operator=(const BackendConnection &) = delete;

    Poco::Net::HTTPClientSession &session();

    /// Longest wait for the next bytes.
    void setReceiveTimeout(Duration timeout);

    /// Reads the server's report on this connection. Throws Poco::Exception.
    BackendReport readReport();

    TimePoint provedAt() const { return m_provedAt; }
    void setProvedAt(TimePoint now) { m_provedAt = now; }

private:
    class Session;
    std::unique_ptr<Session> m_session;
    TimePoint m_provedAt;
};

/// Reads the JSON of a backend server's report. Throws Poco::DataFormatException.
BackendReport decodeBackendReport(const std::string &text);

} // namespace lycheearch
