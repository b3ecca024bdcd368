#include "Store.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MaxItems = 500;
constexpr std::size_t BytesPerKilobyte = 1024;

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t i = bytes; i-- > 0; value >>= 8) {
        text[i] = static_cast<char>(value & 0xFF);
    }
    return text;
}

std::string response(int status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + type
        + "\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string json(int status, const std::string &body)
{
    return response(status, "application/json", body);
}

/// A key percent-encoded in a query.
std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

} // namespace

Store::Store(AppendCallback onAppend)
    : m_onAppend(std::move(onAppend))
{
}

Address Store::addressFor(const std::string &daemon)
{
    m_servers.push_back(std::make_unique<Server>(
        [this, daemon](const auto &connection) { serve(daemon, *connection); }));
    return m_servers.back()->address();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    add(m_topics[topic], {key, value});
}

void Store::add(Topic &topic, Record record)
{
    topic.newest[record.key] = topic.records.size();
    topic.records.push_back(std::move(record));
    m_changed.notify_all();
}

void Store::serve(const std::string &daemon, Connection &connection)
{
    HttpReader reader(connection);
    HttpMessage request;
    while (reader.read(request, Clock::now() + std::chrono::hours(1))) {
        if (!connection.write(answer(daemon, request))) {
            return;
        }
    }
}

std::string Store::answer(const std::string &daemon, const HttpMessage &request)
{
    const std::string path = request.target().substr(0, request.target().find('?'));
    if (path == "/-/log-append") {
        return append(daemon, request);
    }
    if (path == "/-/log-read") {
        return readFrom(request);
    }
    return path == "/-/log-newest" ? newest(request) : json(404, "{}");
}

std::string Store::append(const std::string &daemon, const HttpMessage &request)
{
    const std::lock_guard lock(m_mutex);
    const std::string name = queryParameter(request.target(), "Topic");
    Topic &topic = m_topics[name];
    const std::string at = queryParameter(request.target(), "At");
    if (!at.empty() && std::stoul(at) != topic.records.size()) {
        return json(412, "{\"End\":" + std::to_string(topic.records.size()) + "}");
    }
    const std::size_t first = topic.records.size();
    std::string_view bytes = request.body;
    while (bytes.size() > LengthBytes) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < LengthBytes; ++i) {
            length = length << 8 | static_cast<unsigned char>(bytes[i]);
        }
        const std::string record(bytes.substr(LengthBytes, length));
        const auto keyLength = static_cast<unsigned char>(record[0]);
        add(topic, {record.substr(1, keyLength), record.substr(1U + keyLength)});
        if (m_onAppend) {
            m_onAppend(daemon, name, topic.records.back().key, topic.records.back().value);
        }
        bytes.remove_prefix(LengthBytes + length);
    }
    return json(200,
                "{\"Offset\":" + std::to_string(first)
                    + ",\"End\":" + std::to_string(topic.records.size()) + "}");
}

std::string Store::readFrom(const HttpMessage &request)
{
    const std::size_t from = std::stoul(queryParameter(request.target(), "From"));
    const std::string wait = queryParameter(request.target(), "WaitMs");
    const std::string most = queryParameter(request.target(), "MaxKb");
    std::unique_lock lock(m_mutex);
    Topic &topic = m_topics[queryParameter(request.target(), "Topic")];
    m_changed.wait_for(lock, Milliseconds(wait.empty() ? 0 : std::stol(wait)),
                       [&] { return topic.records.size() > from; });
    if (from > topic.records.size()) {
        return json(410, "{\"First\":0}");
    }
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    const std::size_t limit = BytesPerKilobyte * (most.empty() ? 1024 : std::stoul(most));
    for (std::size_t i = from; i < topic.records.size() && body.size() < limit; ++i) {
        const Record &record = topic.records[i];
        const std::string content =
            static_cast<char>(record.key.size()) + record.key + record.value;
        body += bigEndian(content.size(), LengthBytes) + content;
    }
    return response(200, "application/octet-stream", body);
}

std::string Store::newest(const HttpMessage &request)
{
    const std::lock_guard lock(m_mutex);
    Topic &topic = m_topics[queryParameter(request.target(), "Topic")];
    const std::string after = decoded(queryParameter(request.target(), "After"));
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto entry = topic.newest.upper_bound(after); entry != topic.newest.end(); ++entry) {
        const Record &record = topic.records[entry->second];
        if (record.value.empty()) {
            continue;
        }
        if (count++ == MaxItems) {
            more = true;
            break;
        }
        items += (items.empty() ? "" : ",");
        items += "{\"Key\":\"" + record.key + "\",\"Value\":\"" + encodeBase64(record.value)
            + "\",\"Offset\":" + std::to_string(entry->second) + "}";
    }
    return json(200,
                "{\"Items\":[" + items + "],\"HasMore\":" + (more ? "true" : "false")
                    + ",\"End\":" + std::to_string(topic.records.size()) + "}");
}

} // namespace review
