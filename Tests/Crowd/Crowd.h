#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Base/Endpoint.h"
#include "Base/Time.h"

namespace lycheearch::crowd {

/// What one client of a crowd sends: a text, repeated until \c totalBytes are sent.
struct Input
{
    std::string text;
    std::size_t totalBytes = 0; ///< 0: the text once.

    std::size_t size() const { return totalBytes == 0 ? text.size() : totalBytes; }
};

/// Clients that send what they are given and read nothing. The input is sent as far as the peer
/// takes it; a connection that the peer has ended stays ended.
class Crowd
{
public:
    /// Opens \p clients connections. Refused ones count as ended.
    Crowd(const Endpoint &target, std::size_t clients);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends \p input on each connection, in turns of at most \p pieceBytes. Returns when all is
    /// sent, or when the peers have taken nothing for a second.
    void send(const Input &input, std::size_t pieceBytes = 64UL * 1024);
    /// Ends the sending side of each connection, which stays open.
    void endSending();
    /// Waits, with all connections open and nothing read.
    static void hold(Duration duration);
    /// Closes all connections.
    void close();

private:
    struct Client;

    std::vector<std::unique_ptr<Client>> m_clients;
};

/// A request, from its first line to the end of its body.
std::string request(const std::string &method, const std::string &path, const std::string &fields,
                    const std::string &body = {});
/// A head that announces a body of \p bodyBytes.
std::string headOfBody(const std::string &path, std::size_t bodyBytes);

/// Sends \p text on a connection of its own. Returns the status of the response, or 0 if there is
/// none within \p limit.
int statusOf(const Endpoint &target, const std::string &text, Duration limit);
/// Opens a connection whose reads and writes wait no longer than \p limit. Returns the descriptor.
int connectBlocking(const Endpoint &target, Duration limit);

} // namespace lycheearch::crowd
