#include "Runner.h"

#include <algorithm>
#include <thread>

namespace review {

Runner::Runner(Store &store, RunnerEntry entry, Answer answer)
    : m_store(store)
    , m_entry(std::move(entry))
    , m_answer(std::move(answer))
    , m_born(std::chrono::duration_cast<Milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_server([this](const std::shared_ptr<Connection> &connection) { serve(*connection); })
{
}

void Runner::registerAs(const std::string &state)
{
    m_store.put("keyed.servers", m_entry.id,
                "{\"Service\":\"" + m_entry.service + "\",\"Address\":\"" + address().text()
                    + "\",\"Zone\":\"" + m_entry.zone + "\",\"Version\":\"" + m_entry.version
                    + "\",\"Slots\":" + std::to_string(m_entry.slots) + ",\"State\":\"" + state
                    + "\",\"ColdMs\":0,\"Sequence\":" + std::to_string(++m_sequence)
                    + ",\"born\":" + std::to_string(m_born) + "}");
}

void Runner::serve(Connection &connection)
{
    HttpReader reader(connection);
    HttpMessage request;
    while (reader.read(request, Clock::now() + std::chrono::seconds(30))) {
        const std::string target = request.field("Target-Instance");
        if (!target.empty() && target != m_entry.id) {
            connection.write(answerHead(request, 421)
                             + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!m_answer(request, connection)) {
            return;
        }
    }
}

std::string answerHead(const HttpMessage &request, int status)
{
    const std::string id = request.field("Attempt-Id");
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nAttempt-Id: " + id
        + "\r\nResponse-Seal: seal." + id + "\r\n";
}

std::string answerWithBody(const HttpMessage &request, int status, const std::string &body)
{
    return answerHead(request, status) + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t left = bytes.size(); left > 0; left /= 16) {
        size.insert(size.begin(), digits[left % 16]);
    }
    return size + "\r\n" + bytes + "\r\n";
}

std::string event(int id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

bool answerStream(const HttpMessage &request, Connection &connection, int events,
                  Milliseconds first, Milliseconds gap)
{
    const std::string last = request.field("Last-Event-Id");
    std::this_thread::sleep_for(first);
    bool sent =
        connection.write(answerHead(request, 200)
                         + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= events && sent; ++id) {
        sent = connection.write(chunk(event(id, "token" + std::to_string(id))));
        std::this_thread::sleep_for(gap);
    }
    return sent && connection.write("0\r\n\r\n");
}

} // namespace review
