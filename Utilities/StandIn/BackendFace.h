#pragma once

#include "HttpServing.h"
#include "StandInBackend.h"

namespace lycheearch::standin {

/// Speaks the protocol of one backend server: reports, generations, calls and orders.
/// Faults: refuse, silent (milliseconds without a byte), cut (parts sent before the connection
/// breaks), crossed (answers of another request), slow (milliseconds before the first byte).
class BackendFace
{
public:
    explicit BackendFace(StandInBackend &backend);
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    void generate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void call(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
              const std::string &operation);
    void order(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    StandInBackend &m_backend;
};

} // namespace lycheearch::standin
