#pragma once

#include "HttpServing.h"
#include "StandInWorld.h"

namespace lycheearch::standin {

/// Speaks the protocols of the platform's services, and the control path of experiments.
/// Faults of the log: log_down, log_slow (milliseconds), log_lose_answer (number of appends whose
/// answer is lost after they took effect). Others: list_down, rating_down, rating_slow,
/// weights_down.
class PlatformFace
{
public:
    explicit PlatformFace(StandInWorld &world);
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    void log(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void rating(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void control(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    StandInWorld &m_world;
};

} // namespace lycheearch::standin
