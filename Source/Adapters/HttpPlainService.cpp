#include "Adapters/HttpPlainService.h"

#include <Poco/Exception.h>

#include "Net/HttpStatus.h"

namespace lycheearch {

namespace {

/// Larger responses are a failure.
constexpr std::size_t MaxResponseBytes = 16UL * 1024 * 1024;

/// The value of a field, or nothing if the response does not have it.
std::string_view fieldOf(const HttpResponseHead &response, std::string_view name)
{
    const std::string *value = response.fields.find(name);
    return value == nullptr ? std::string_view() : *value;
}

/// Checks that the response belongs to \p request and states its length.
Status checkResponse(const HttpResponseHead &response, const RequestId &request)
{
    if (fieldOf(response, "X-Request-Id") != request.value()) {
        return makeFailure(Errc::BackendBroken, "received the response of another request",
                           RunState::Unknown);
    }
    if (!response.contentLength) {
        return makeFailure(Errc::BackendBroken, "the response has no length", RunState::Unknown);
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
        HttpRequestHead request;
        request.target = "/call/" + call.operation.value();
        request.fields.add("X-Request-Id", call.request.value());
        const Duration remaining = std::max<Duration>(call.deadline - m_clock.now(), 1ms);
        connection->setReceiveTimeout(remaining);
        run = RunState::Unknown;
        HttpResponseReader &reader =
            connection->post(std::move(request), call.body, MaxResponseBytes);
        const HttpResponseHead response = reader.readHead();
        if (const Status mismatch = checkResponse(response, call.request)) {
            return *mismatch;
        }
        std::string body = reader.readBody();
        if (reader.reusable()) {
            m_pool.release(target.address, std::move(connection));
        }
        if (response.status == HttpStatus::Unavailable && fieldOf(response, "X-Run") == "not_run") {
            return makeFailure(Errc::BackendOverloaded,
                               target.instance.value() + " refused the call");
        }
        if (response.status != HttpStatus::Ok) {
            return makeFailure(Errc::BackendFailed,
                               target.instance.value() + " responded with status "
                                   + std::to_string(response.status),
                               RunState::Ran);
        }
        return body;
    } catch (const Poco::Exception &error) {
        return makeFailure(Errc::BackendBroken,
                           target.instance.value() + ": " + error.displayText(), run);
    }
}

} // namespace lycheearch
