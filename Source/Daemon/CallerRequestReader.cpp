#include "Daemon/CallerRequestReader.h"

#include <algorithm>
#include <semaphore>

#include <Poco/NumberParser.h>
#include <nlohmann/json.hpp>

#include "Base/Hash.h"

namespace lycheearch {

namespace {

constexpr std::size_t MaxHeaderValueLength = 200;
constexpr Duration MaxDeadline = 600s;
constexpr std::int64_t MaxTokens = 100'000;
constexpr std::streamsize MaxDiscardedBytes = 16'000'000;
/// Read at a time of a body without a length.
constexpr std::size_t BodyPartBytes = 64UL * 1024;
/// Levels of lists and objects in a body. Decoded bodies are processed recursively.
constexpr int MaxJsonDepth = 256;
/// Decoding may take tens of times the size of a body. Bodies that are larger than this are decoded
/// only one at a time.
constexpr std::size_t LargeBodyBytes = 64UL * 1024;
constexpr std::ptrdiff_t MaxLargeDecodings = 1;
const std::string BearerPrefix = "Bearer ";

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character > 0x20 && character < 0x7f;
    });
}

/// Whether lists and objects are nested more deeply than MaxJsonDepth.
bool tooDeep(const std::string &json)
{
    int depth = 0;
    bool inText = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (inText) {
            i += c == '\\' ? 1 : 0;
            inText = c != '"';
        } else if (c == '[' || c == '{') {
            if (++depth > MaxJsonDepth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        } else {
            inText = c == '"';
        }
    }
    return false;
}

/// Holds one of the places for decoding large bodies, if \p bodyBytes is large.
class DecodingPlace
{
public:
    explicit DecodingPlace(std::size_t bodyBytes)
        : m_taken(bodyBytes > LargeBodyBytes)
    {
        if (m_taken) {
            places().acquire();
        }
    }
    ~DecodingPlace()
    {
        if (m_taken) {
            places().release();
        }
    }
    DecodingPlace(const DecodingPlace &) = delete;
    DecodingPlace &operator=(const DecodingPlace &) = delete;

private:
    static std::counting_semaphore<MaxLargeDecodings> &places()
    {
        static std::counting_semaphore<MaxLargeDecodings> all(MaxLargeDecodings);
        return all;
    }

    bool m_taken;
};

Failure malformed(const std::string &message)
{
    return makeFailure(Errc::Malformed, message);
}

/// Reads and drops the rest of an oversized body, up to a limit. Closing a connection with unread
/// bytes resets it, and the caller would not receive the response.
void discardBody(std::istream &stream)
{
    stream.ignore(MaxDiscardedBytes);
}

/// Reads the stream to its end, but no more than \p mostBytes.
std::string readUpTo(std::istream &stream, std::size_t mostBytes)
{
    std::string text;
    while (stream && text.size() < mostBytes) {
        const std::size_t before = text.size();
        const std::size_t part = std::min(BodyPartBytes, mostBytes - before);
        text.resize(before + part);
        stream.read(text.data() + before, static_cast<std::streamsize>(part));
        text.resize(before + static_cast<std::size_t>(stream.gcount()));
    }
    return text;
}

/// Reads an optional header into \p value and checks its length and characters.
Status readHeader(const Poco::Net::HTTPServerRequest &request, const std::string &name,
                  std::string &value)
{
    value = request.get(name, "");
    if (value.size() > MaxHeaderValueLength || !isPrintable(value)) {
        return malformed("header " + name + ": expected at most "
                         + std::to_string(MaxHeaderValueLength)
                         + " printable characters without spaces");
    }
    return std::nullopt;
}

Status readChatBody(const nlohmann::json &json, CallerRequest &request)
{
    if (!json.is_object()) {
        return malformed("body: expected a JSON object");
    }
    if (!json.contains("model") || !json["model"].is_string()) {
        return malformed("body, model: expected a string");
    }
    if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty()) {
        return malformed("body, messages: expected a non-empty list");
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        return malformed("body, stream: expected true or false");
    }
    const auto tokens = json.value("max_tokens", nlohmann::json(request.maxTokens.value()));
    if (!tokens.is_number_integer() || tokens < 1 || tokens > MaxTokens) {
        return malformed("body, max_tokens: expected an integer from 1 to "
                         + std::to_string(MaxTokens));
    }
    request.model = ModelId(json["model"].get<std::string>());
    request.prompt = json["messages"].dump();
    request.stream = json.value("stream", false);
    request.maxTokens = Tokens(tokens.get<std::int64_t>());
    return std::nullopt;
}

Status decodeChatBody(const std::string &body, CallerRequest &request)
{
    const DecodingPlace place(body.size());
    return readChatBody(nlohmann::json::parse(body, nullptr, false), request);
}

} // namespace

CallerRequestReader::CallerRequestReader(std::size_t maxBodyBytes, Duration defaultDeadline)
    : m_maxBodyBytes(maxBodyBytes)
    , m_defaultDeadline(defaultDeadline)
{
}

std::string CallerRequestReader::bearerKey(const Poco::Net::HTTPServerRequest &request)
{
    const std::string header = request.get("Authorization", "");
    return header.starts_with(BearerPrefix) ? header.substr(BearerPrefix.size()) : "";
}

Result<std::string> CallerRequestReader::readBody(Poco::Net::HTTPServerRequest &request) const
{
    if (request.hasContentLength()
        && request.getContentLength64() > static_cast<Poco::Int64>(m_maxBodyBytes)) {
        discardBody(request.stream());
        return makeFailure(Errc::TooLarge,
                           "the request body is larger than " + std::to_string(m_maxBodyBytes)
                               + " bytes");
    }
    const std::string body = readUpTo(request.stream(), m_maxBodyBytes + 1);
    if (body.size() > m_maxBodyBytes) {
        discardBody(request.stream());
        return makeFailure(Errc::TooLarge,
                           "the request body is larger than " + std::to_string(m_maxBodyBytes)
                               + " bytes");
    }
    return body;
}

Result<CallerRequest> CallerRequestReader::readHeaders(const Poco::Net::HTTPServerRequest &request,
                                                       TimePoint now) const
{
    CallerRequest read;
    read.bearerKey = bearerKey(request);
    std::string id;
    std::string key;
    std::string session;
    std::string taskClass;
    std::string deadline;
    for (const Status &failure :
         {readHeader(request, "X-Request-Id", id), readHeader(request, "Idempotency-Key", key),
          readHeader(request, "X-Session-Id", session),
          readHeader(request, "X-Session-Token", read.sessionToken),
          readHeader(request, "X-Task-Class", taskClass),
          readHeader(request, "X-Deadline-Ms", deadline)}) {
        if (failure) {
            return *failure;
        }
    }
    read.id = RequestId(id.empty() ? randomHex() : id);
    read.idempotencyKey = IdempotencyKey(key);
    read.session = SessionId(session);
    read.taskClass = TaskClass(taskClass);
    Duration limit = m_defaultDeadline;
    if (!deadline.empty()) {
        unsigned milliseconds = 0;
        const bool valid = Poco::NumberParser::tryParseUnsigned(deadline, milliseconds);
        limit = std::chrono::milliseconds(milliseconds);
        if (!valid || limit <= Duration::zero() || limit > MaxDeadline) {
            return malformed("header X-Deadline-Ms: expected an integer from 1 to "
                             + std::to_string(toMilliseconds(MaxDeadline)));
        }
    }
    read.deadline = now + limit;
    return read;
}

Result<CallerRequest> CallerRequestReader::readChat(Poco::Net::HTTPServerRequest &request,
                                                    TimePoint now) const
{
    auto read = readHeaders(request, now);
    if (!read.ok()) {
        return read;
    }
    const auto body = readBody(request);
    if (!body.ok()) {
        return body.failure();
    }
    read.value().kind = RequestKind::Chat;
    if (tooDeep(body.value())) {
        return malformed("body: nested more deeply than " + std::to_string(MaxJsonDepth)
                         + " levels");
    }
    if (const Status failure = decodeChatBody(body.value(), read.value())) {
        return *failure;
    }
    if (read.value().taskClass.empty()) {
        read.value().taskClass = TaskClass(read.value().model.value());
    }
    return read;
}

Result<CallerRequest> CallerRequestReader::readService(Poco::Net::HTTPServerRequest &request,
                                                       const ServiceId &service,
                                                       const OperationName &operation,
                                                       TimePoint now) const
{
    auto read = readHeaders(request, now);
    if (!read.ok()) {
        return read;
    }
    const auto body = readBody(request);
    if (!body.ok()) {
        return body.failure();
    }
    read.value().kind = RequestKind::Service;
    read.value().service = service;
    read.value().operation = operation;
    read.value().body = body.value();
    return read;
}

} // namespace lycheearch
