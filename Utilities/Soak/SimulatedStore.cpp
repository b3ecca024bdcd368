#include "SimulatedStore.h"

#include <sstream>

#include <Poco/Base64Encoder.h>
#include <nlohmann/json.hpp>

namespace lycheearch::soak {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Gone = 410;
constexpr int PreconditionFailed = 412;
constexpr int Unavailable = 503;
constexpr Duration PollPeriod = 20ms;
constexpr std::size_t RecordLengthBytes = 4;

std::string queryParameter(const std::string &target, const std::string &name)
{
    const std::string namePrefix = name + "=";
    for (std::size_t at = target.find(namePrefix); at != std::string::npos;
         at = target.find(namePrefix, at + 1)) {
        const char before = target[at - 1];
        if (before == '?' || before == '&') {
            const std::size_t start = at + namePrefix.size();
            return target.substr(start, target.find('&', start) - start);
        }
    }
    return {};
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    constexpr int bitsPerByte = 8;
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>((value >> (bitsPerByte * i)) & 0xFF));
    }
    return text;
}

std::string encodeBase64(const std::string &text)
{
    std::ostringstream output;
    Poco::Base64Encoder encoder(output, Poco::BASE64_URL_ENCODING);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    std::string encoded = output.str();
    for (char &c : encoded) {
        c = c == '-' ? '+' : (c == '_' ? '/' : c);
    }
    return encoded;
}

} // namespace

SimulatedStore::SimulatedStore(EventLoop &loop, const Endpoint &listen)
    : m_loop(loop)
{
    addHost(listen);
}

void SimulatedStore::addHost(const Endpoint &listen)
{
    m_servers.push_back(std::make_unique<AsyncServer>(
        m_loop, listen,
        [this](const Connection &connection, const HttpRequestHead &head, const std::string &body) {
            onRequest(connection, head, body);
        }));
}

std::string SimulatedStore::valueAt(const Connection &connection, const std::string &value)
{
    const std::string field = R"("Address":")";
    const std::size_t host = value.find(field);
    if (host == std::string::npos) {
        return value;
    }
    const std::size_t start = host + field.size();
    return value.substr(0, start) + connection->localHost() + value.substr(value.find(':', start));
}

void SimulatedStore::appendRecord(const std::string &topic, const std::string &key,
                                  const std::string &value)
{
    add(m_topicLogs[topic], {key, value, m_loop.now()});
}

void SimulatedStore::add(TopicLog &topicLog, Record record)
{
    topicLog.newest[record.key] = {topicLog.end(), record.value};
    topicLog.records.push_back(std::move(record));
}

void SimulatedStore::compact()
{
    for (auto &[topic, topicLog] : m_topicLogs) {
        topicLog.first = topicLog.end();
        topicLog.records.clear();
        topicLog.newestAtFirst = topicLog.newest;
    }
}

void SimulatedStore::comeBackOlder(Duration age)
{
    ++m_era;
    const TimePoint copiedAt = m_loop.now() - age;
    for (auto &[topic, topicLog] : m_topicLogs) {
        std::vector<Record> records = std::move(topicLog.records);
        std::erase_if(records, [&](const Record &record) { return record.appendedAt > copiedAt; });
        topicLog.records.clear();
        topicLog.newest = topicLog.newestAtFirst;
        for (Record &record : records) {
            add(topicLog, std::move(record));
        }
    }
}

void SimulatedStore::reply(const Connection &connection, int status, const std::string &body) const
{
    HttpFields fields;
    fields.add("Store-Era", std::to_string(m_era));
    connection->reply(status, std::move(fields), body);
}

void SimulatedStore::onRequest(const Connection &connection, const HttpRequestHead &head,
                               const std::string &body)
{
    ++m_requestCount;
    const std::string &target = head.target;
    const std::string topic = queryParameter(target, "Topic");
    if (m_mode == StoreMode::Silent) {
        return;
    }
    if (m_mode == StoreMode::Refusing) {
        reply(connection, Unavailable, "");
    } else if (target.starts_with("/-/log-read")) {
        const std::string wait = queryParameter(target, "WaitMs");
        read(connection, topic, std::stoll(queryParameter(target, "From")),
             wait.empty() ? Duration::zero()
                          : Duration(std::chrono::milliseconds(std::stoll(wait))));
    } else if (target.starts_with("/-/log-newest")) {
        listNewest(connection, topic);
    } else {
        append(connection, topic, target, body);
    }
}

void SimulatedStore::read(const Connection &connection, const std::string &topic, std::int64_t from,
                          Duration wait)
{
    if (connection->closed()) {
        return;
    }
    TopicLog &topicLog = m_topicLogs[topic];
    if (from < topicLog.first || from > topicLog.end()) {
        reply(connection, Gone, nlohmann::json({{"First", topicLog.first}}).dump());
    } else if (from < topicLog.end() || wait <= Duration::zero()) {
        replyRecords(connection, topicLog, from);
    } else {
        m_loop.at(m_loop.now() + PollPeriod,
                  [=, this](TimePoint) { read(connection, topic, from, wait - PollPeriod); });
    }
}

void SimulatedStore::replyRecords(const Connection &connection, const TopicLog &topicLog,
                                  std::int64_t from) const
{
    constexpr int offsetBytes = 8;
    std::string body = bigEndian(static_cast<std::uint64_t>(topicLog.end()), offsetBytes)
        + bigEndian(static_cast<std::uint64_t>(topicLog.first), offsetBytes);
    for (std::int64_t i = from; i < topicLog.end(); ++i) {
        const Record &record = topicLog.records[static_cast<std::size_t>(i - topicLog.first)];
        const std::string content =
            static_cast<char>(record.key.size()) + record.key + valueAt(connection, record.value);
        body += bigEndian(content.size(), RecordLengthBytes) + content;
    }
    reply(connection, Ok, body);
}

void SimulatedStore::listNewest(const Connection &connection, const std::string &topic)
{
    const TopicLog &topicLog = m_topicLogs[topic];
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, newest] : topicLog.newest) {
        if (!newest.value.empty()) {
            items.push_back({{"Key", key},
                             {"Value", encodeBase64(valueAt(connection, newest.value))},
                             {"Offset", newest.offset}});
        }
    }
    const nlohmann::json answer = {{"Items", items}, {"HasMore", false}, {"End", topicLog.end()}};
    reply(connection, Ok, answer.dump());
}

void SimulatedStore::append(const Connection &connection, const std::string &topic,
                            const std::string &target, const std::string &body)
{
    if (!target.starts_with("/-/log-append") || body.size() <= RecordLengthBytes) {
        reply(connection, BadRequest, "expected an append request with a record\n");
        return;
    }
    TopicLog &topicLog = m_topicLogs[topic];
    const std::string at = queryParameter(target, "At");
    if (!at.empty() && std::stoll(at) != topicLog.end()) {
        reply(connection, PreconditionFailed, nlohmann::json({{"End", topicLog.end()}}).dump());
        return;
    }
    const auto keyLength = static_cast<unsigned char>(body.at(RecordLengthBytes));
    const std::int64_t offset = topicLog.end();
    add(topicLog,
        {body.substr(RecordLengthBytes + 1, keyLength),
         body.substr(RecordLengthBytes + 1 + keyLength), m_loop.now()});
    if (m_mode == StoreMode::LosingAnswers) {
        return;
    }
    reply(connection, Ok, nlohmann::json({{"Offset", offset}, {"End", topicLog.end()}}).dump());
}

} // namespace lycheearch::soak
