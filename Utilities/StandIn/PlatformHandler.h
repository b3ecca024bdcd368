#pragma once

#include "HttpServer.h"
#include "StandInEnvironment.h"

namespace lycheearch::standin {

/// HTTP interface of the simulated platform services (log, instance list, ratings, weight store),
/// with the control and journal endpoints for trials.
/// Faults of the log: log_down, log_slow (milliseconds), log_lose_answer (number of appends that
/// take effect without an answer). Others: list_down, rating_down, rating_slow (milliseconds),
/// weights_down. With any positive value of a fault *_down, the service answers 503.
class PlatformHandler
{
public:
    explicit PlatformHandler(StandInEnvironment &environment);
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    void log(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void rating(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void control(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    StandInEnvironment &m_environment;
};

} // namespace lycheearch::standin
