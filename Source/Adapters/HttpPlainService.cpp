#include "Adapters/HttpPlainService.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace lycheearch {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;

/// Checks that the response with \p body is complete and belongs to \p request.
Status checkResponse(const Poco::Net::HTTPResponse &response, const std::string &body,
                     const RequestId &request)
{
    if (response.get("X-Request-Id", "") != request.value()) {
        return makeFailure(Errc::BackendBroken, "received the response of another request",
                           RunState::Unknown);
    }
    if (!response.hasContentLength()
        || response.getContentLength64() != static_cast<Poco::Int64>(body.size())) {
        return makeFailure(Errc::BackendBroken, "the response was truncated", RunState::Unknown);
    }
    return std::nullopt;
}

} // namespace

HttpPlainService::HttpPlainService(BackendTimeouts timeouts, ConnectionPool &pool,
                                   const Clock &clock)
    : m_timeouts(timeouts)
    , m_pool(pool)
    , m_clock(clock)
{
}

Result<BackendReport> HttpPlainService::report(const Endpoint &address)
{
    try {
        return BackendConnection(address, m_timeouts.connect).readReport();
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::BackendBroken, address.text() + ": " + error.displayText());
    }
}

Result<std::string> HttpPlainService::call(const BackendTarget &target, const ServiceCall &call,
                                           TimePoint now)
{
    auto taken = m_pool.acquire(target, now);
    if (!taken.ok()) {
        return taken.failure();
    }
    std::unique_ptr<BackendConnection> connection = std::move(taken.value());
    RunState run = RunState::NotRun;
    try {
        Poco::Net::HTTPRequest message("POST", "/call/" + call.operation.value(),
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        message.setKeepAlive(true);
        message.set("X-Request-Id", call.request.value());
        message.setContentType("application/json");
        message.setContentLength(static_cast<std::streamsize>(call.body.size()));
        const Duration remaining = std::max<Duration>(call.deadline - m_clock.now(), 1ms);
        connection->setReceiveTimeout(remaining);
        run = RunState::Unknown;
        connection->session().sendRequest(message) << call.body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = connection->session().receiveResponse(response);
        std::string body;
        Poco::StreamCopier::copyToString(stream, body);
        const Status mismatch = checkResponse(response, body, call.request);
        if (mismatch) {
            return *mismatch;
        }
        if (response.getKeepAlive()) {
            m_pool.release(target.address, std::move(connection));
        }
        if (response.getStatus() == HttpUnavailable && response.get("X-Run", "") == "not_run") {
            return makeFailure(Errc::BackendOverloaded,
                               target.instance.value() + " refused the call");
        }
        if (response.getStatus() != HttpOk) {
            return makeFailure(Errc::BackendFailed,
                               target.instance.value() + " responded with status "
                                   + std::to_string(response.getStatus()),
                               RunState::Ran);
        }
        return body;
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::BackendBroken,
                           target.instance.value() + ": " + error.displayText(), run);
    }
}

} // namespace lycheearch
