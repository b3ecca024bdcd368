#include "Peer/RpcPeerNetwork.h"

#include <future>
#include <map>
#include <thread>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include "Base/Logger.h"
#include "Peer/PeerCodec.h"
#include "Peer/RpcPeerServer.h"

namespace lycheearch {

namespace {

const Logger Log("peer");

Failure peerUnavailable(const std::string &peer, const kj::Exception &error)
{
    return makeFailure(Errc::PeerUnavailable, peer + ": " + error.getDescription().cStr());
}

/// The Peer capability of a connection. Calls on it are queued until the connection is
/// authenticated.
struct PeerCapability
{
    explicit PeerCapability(wire::Peer::Client client)
        : peer(std::move(client))
    {
    }
    wire::Peer::Client peer;
};

/// A connection to a peer. The RPC client uses the stream and is destroyed before it.
struct Connection
{
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> rpc;
};

} // namespace

/// The state of the peer thread. m_io and the members after it are used only on that thread.
class RpcPeerNetwork::Private
{
public:
    Private(InstanceId self, Endpoint listen, Duration timeout, PeerAuthenticator authenticator,
            PeerService &service, const Clock &clock)
        : m_self(std::move(self))
        , m_listen(std::move(listen))
        , m_timeout(timeout)
        , m_authenticator(std::move(authenticator))
        , m_service(service)
        , m_clock(clock)
    {
    }

    Status start()
    {
        std::promise<Status> started;
        std::future<Status> result = started.get_future();
        m_thread = std::thread([this, &started] { run(started); });
        return result.get();
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        try {
            m_executor->executeSync([this] { m_stop->fulfill(); });
        } catch (const kj::Exception &) {
            Log.debug("The peer thread had already ended.");
        }
        m_thread.join();
    }

    void setPeers(const std::vector<std::pair<InstanceId, Endpoint>> &peers)
    {
        try {
            m_executor->executeSync([&] { replacePeers(peers); });
        } catch (const kj::Exception &error) {
            Log.warning(std::string("Setting the peer addresses failed: ")
                        + error.getDescription().cStr() + ".");
        }
    }

    /// Runs \p request on the peer thread with the peer's capability and waits for its result.
    /// \p request returns a promise of a value that does not refer to the response message, which
    /// no longer exists when the value is used.
    template <typename T, typename Request>
    Result<T> call(const InstanceId &peer, Request request)
    {
        try {
            return m_executor->executeSync(
                [&]() -> kj::Promise<T> { return callWithTimeout<T>(peer, request); });
        } catch (const kj::Exception &error) {
            return peerUnavailable(peer.value(), error);
        }
    }

    /// As call(), for all \p peers in parallel. The results have the order of \p peers.
    template <typename T, typename Request>
    std::vector<Result<T>> callAll(const std::vector<InstanceId> &peers, Request request)
    {
        try {
            return m_executor->executeSync([&]() -> kj::Promise<std::vector<Result<T>>> {
                auto promises = kj::heapArrayBuilder<kj::Promise<Result<T>>>(peers.size());
                for (const InstanceId &peer : peers) {
                    promises.add(callWithTimeout<T>(peer, request)
                                     .then([](T &&value) { return Result<T>(std::move(value)); },
                                           [peer](kj::Exception &&error) {
                                               return Result<T>(
                                                   peerUnavailable(peer.value(), error));
                                           }));
                }
                return kj::joinPromises(promises.finish()).then([](kj::Array<Result<T>> &&all) {
                    return std::vector<Result<T>>(all.begin(), all.end());
                });
            });
        } catch (const kj::Exception &error) {
            return std::vector<Result<T>>(peers.size(), Result<T>(peerUnavailable("all", error)));
        }
    }

private:
    void run(std::promise<Status> &started)
    {
        bool startReported = false;
        try {
            auto io = kj::setupAsyncIo();
            m_io = &io;
            m_executor = kj::getCurrentThreadExecutor().addRef();
            auto stop = kj::newPromiseAndFulfiller<void>();
            m_stop = std::move(stop.fulfiller);
            capnp::TwoPartyServer server(
                kj::heap<RpcGateServer>(m_authenticator, m_service, m_clock));
            auto listener = io.provider->getNetwork()
                                .parseAddress(m_listen.host, m_listen.port)
                                .wait(io.waitScope)
                                ->listen();
            auto serving = server.listen(*listener).eagerlyEvaluate([](kj::Exception &&error) {
                Log.error(std::string("The peer server failed: ") + error.getDescription().cStr());
            });
            startReported = true;
            started.set_value(std::nullopt);
            stop.promise.wait(io.waitScope);
            m_capabilities.clear();
            m_connections.clear();
        } catch (const kj::Exception &error) {
            if (!startReported) {
                started.set_value(makeFailure(
                    Errc::PeerUnavailable, m_listen.text() + ": " + error.getDescription().cStr()));
            }
        }
    }

    void replacePeers(const std::vector<std::pair<InstanceId, Endpoint>> &peers)
    {
        std::map<InstanceId, Endpoint> newAddresses(peers.begin(), peers.end());
        for (const auto &[peer, address] : m_addresses) {
            const auto updated = newAddresses.find(peer);
            if (updated == newAddresses.end() || updated->second != address) {
                closeConnection(peer);
            }
        }
        m_addresses = std::move(newAddresses);
    }

    void closeConnection(const InstanceId &peer)
    {
        ++m_generations[peer];
        m_capabilities.erase(peer);
        m_connections.erase(peer);
    }

    template <typename T, typename Request>
    kj::Promise<T> callWithTimeout(const InstanceId &peer, Request &request)
    {
        if (!m_addresses.contains(peer)) {
            return KJ_EXCEPTION(DISCONNECTED, "the peer has no known address");
        }
        if (!m_capabilities.contains(peer)) {
            m_capabilities.emplace(peer, PeerCapability(wire::Peer::Client(openConnection(peer))));
        }
        const std::uint64_t generation = m_generations[peer];
        kj::Promise<T> answer = request(m_capabilities.at(peer).peer);
        return m_io->provider->getTimer()
            .timeoutAfter(m_timeout.count() * kj::MICROSECONDS, kj::mv(answer))
            .catch_([this, peer, generation](kj::Exception &&error) -> kj::Promise<T> {
                if (m_generations[peer] == generation) {
                    closeConnection(peer);
                }
                return kj::mv(error);
            });
    }

    kj::Promise<wire::Peer::Client> openConnection(const InstanceId &peer)
    {
        const Endpoint address = m_addresses.at(peer);
        const std::uint64_t generation = m_generations[peer];
        return m_io->provider->getNetwork()
            .parseAddress(address.host, address.port)
            .then([](kj::Own<kj::NetworkAddress> &&parsed) {
                auto connecting = parsed->connect();
                return connecting.attach(kj::mv(parsed));
            })
            .then([this, peer, generation](kj::Own<kj::AsyncIoStream> &&stream) {
                if (m_generations[peer] != generation) {
                    kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "superseded"));
                }
                Connection connection;
                connection.rpc = kj::heap<capnp::TwoPartyClient>(*stream);
                connection.stream = kj::mv(stream);
                wire::Gate::Client gate = connection.rpc->bootstrap().castAs<wire::Gate>();
                m_connections.erase(peer);
                m_connections.emplace(peer, kj::mv(connection));
                return authenticate(gate);
            });
    }

    kj::Promise<wire::Peer::Client> authenticate(wire::Gate::Client gate)
    {
        return gate.challengeRequest().send().then(
            [this, gate](capnp::Response<wire::Gate::ChallengeResults> &&answer) mutable {
                const std::string nonce = PeerCodec::text(answer.getNonce());
                auto open = gate.openRequest();
                open.setInstance(m_self.value());
                open.setNonce(nonce);
                open.setProof(m_authenticator.initiatorProof(m_self, nonce));
                return open.send().then([this,
                                         nonce](capnp::Response<wire::Gate::OpenResults> &&opened) {
                    const std::string proof = PeerCodec::text(opened.getProof());
                    if (!m_authenticator.verifyAcceptorProof(m_self, nonce, proof)) {
                        kj::throwFatalException(
                            KJ_EXCEPTION(FAILED, "authentication of the accepting daemon failed"));
                    }
                    return opened.getPeer();
                });
            });
    }

    InstanceId m_self;
    Endpoint m_listen;
    Duration m_timeout;
    PeerAuthenticator m_authenticator;
    PeerService &m_service;
    const Clock &m_clock;
    std::thread m_thread;
    kj::Own<const kj::Executor> m_executor;

    kj::AsyncIoContext *m_io = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    std::map<InstanceId, Endpoint> m_addresses;
    std::map<InstanceId, Connection> m_connections;
    std::map<InstanceId, PeerCapability> m_capabilities;
    /// Incremented when a connection is closed, so that late results of calls on it do not close or
    /// replace the next one.
    std::map<InstanceId, std::uint64_t> m_generations;
};

RpcPeerNetwork::RpcPeerNetwork(InstanceId self, Endpoint listen, Duration timeout,
                               PeerAuthenticator authenticator, PeerService &service,
                               const Clock &clock)
    : m_private(std::make_unique<Private>(std::move(self), std::move(listen), timeout,
                                          std::move(authenticator), service, clock))
{
}

RpcPeerNetwork::~RpcPeerNetwork()
{
    m_private->stop();
}

Status RpcPeerNetwork::start()
{
    return m_private->start();
}

void RpcPeerNetwork::stop()
{
    m_private->stop();
}

void RpcPeerNetwork::setPeers(const std::vector<std::pair<InstanceId, Endpoint>> &peers)
{
    m_private->setPeers(peers);
}

namespace {

kj::Promise<HeartbeatMessage> sendHeartbeatRequest(wire::Peer::Client &client,
                                                   const HeartbeatMessage &message)
{
    auto request = client.exchangeRequest();
    PeerCodec::write(request.initMessage(), message);
    return request.send().then([](auto &&answer) { return PeerCodec::read(answer.getMessage()); });
}

} // namespace

Result<HeartbeatMessage> RpcPeerNetwork::sendHeartbeat(const InstanceId &peer,
                                                       const HeartbeatMessage &message)
{
    return m_private->call<HeartbeatMessage>(
        peer, [&](wire::Peer::Client &client) { return sendHeartbeatRequest(client, message); });
}

std::vector<Result<HeartbeatMessage>>
RpcPeerNetwork::sendHeartbeatToAll(const std::vector<InstanceId> &peers,
                                   const HeartbeatMessage &message)
{
    return m_private->callAll<HeartbeatMessage>(
        peers, [&](wire::Peer::Client &client) { return sendHeartbeatRequest(client, message); });
}

Result<ConfigAnswer> RpcPeerNetwork::fetchConfig(const InstanceId &peer, Revision from)
{
    return m_private->call<ConfigAnswer>(peer, [&](wire::Peer::Client &client) {
        auto request = client.fetchConfigRequest();
        request.setFrom(from.value());
        return request.send().then([](auto &&answer) {
            return ConfigAnswer{Revision(answer.getAnswer().getRevision()),
                                PeerCodec::text(answer.getAnswer().getSnapshot())};
        });
    });
}

std::vector<Result<ClaimAnswer>>
RpcPeerNetwork::requestClaimConsent(const std::vector<InstanceId> &peers, const ClaimAsk &ask)
{
    return m_private->callAll<ClaimAnswer>(peers, [&](wire::Peer::Client &client) {
        auto request = client.askClaimRequest();
        PeerCodec::write(request.initAsk(), ask);
        return request.send().then(
            [](auto &&answer) { return PeerCodec::read(answer.getAnswer()); });
    });
}

void RpcPeerNetwork::releaseClaim(const std::vector<InstanceId> &peers, const RequestKey &key,
                                  const ClaimId &claim)
{
    m_private->callAll<bool>(peers, [&](wire::Peer::Client &client) {
        auto request = client.releaseClaimRequest();
        request.setKey(key.value());
        request.setClaim(claim.value());
        return request.send().then([](auto &&) { return true; });
    });
}

Result<ClaimAnswer> RpcPeerNetwork::claimStatus(const InstanceId &peer, const RequestKey &key,
                                                const ClaimId &claim)
{
    return m_private->call<ClaimAnswer>(peer, [&](wire::Peer::Client &client) {
        auto request = client.claimStatusRequest();
        request.setKey(key.value());
        request.setClaim(claim.value());
        return request.send().then(
            [](auto &&answer) { return PeerCodec::read(answer.getAnswer()); });
    });
}

Result<std::vector<ClaimEntry>> RpcPeerNetwork::copyClaims(const InstanceId &peer)
{
    return m_private->call<std::vector<ClaimEntry>>(peer, [&](wire::Peer::Client &client) {
        return client.copyClaimsRequest().send().then(
            [](auto &&answer) { return PeerCodec::readList<ClaimEntry>(answer.getClaims()); });
    });
}

namespace {

kj::Promise<std::vector<KeptRecord>> sendStoreReplicas(wire::Peer::Client &client,
                                                       const std::vector<KeptRecord> &records)
{
    auto request = client.keepRequest();
    PeerCodec::writeList(request.initRecords(static_cast<unsigned>(records.size())), records);
    return request.send().then(
        [](auto &&answer) { return PeerCodec::readList<KeptRecord>(answer.getPresent()); });
}

kj::Promise<std::optional<KeptRecord>> sendFetchReplica(wire::Peer::Client &client, KeptKind kind,
                                                        const std::string &key)
{
    using Found = std::optional<KeptRecord>;
    auto request = client.fetchKeptRequest();
    request.setKind(PeerCodec::toWire(kind));
    request.setKey(key);
    return request.send().then([](auto &&answer) {
        return answer.getFound() ? Found(PeerCodec::read(answer.getRecord())) : Found();
    });
}

} // namespace

Result<std::vector<KeptRecord>>
RpcPeerNetwork::storeReplicas(const InstanceId &peer, const std::vector<KeptRecord> &records)
{
    return m_private->call<std::vector<KeptRecord>>(
        peer, [&](wire::Peer::Client &client) { return sendStoreReplicas(client, records); });
}

std::vector<Result<std::vector<KeptRecord>>>
RpcPeerNetwork::storeReplicasAtAll(const std::vector<InstanceId> &peers,
                                   const std::vector<KeptRecord> &records)
{
    return m_private->callAll<std::vector<KeptRecord>>(
        peers, [&](wire::Peer::Client &client) { return sendStoreReplicas(client, records); });
}

Result<std::optional<KeptRecord>>
RpcPeerNetwork::fetchReplica(const InstanceId &peer, KeptKind kind, const std::string &key)
{
    return m_private->call<std::optional<KeptRecord>>(
        peer, [&](wire::Peer::Client &client) { return sendFetchReplica(client, kind, key); });
}

std::optional<KeptRecord> RpcPeerNetwork::fetchReplicaFromAny(const std::vector<InstanceId> &peers,
                                                              KeptKind kind, const std::string &key)
{
    const auto answers = m_private->callAll<std::optional<KeptRecord>>(
        peers, [&](wire::Peer::Client &client) { return sendFetchReplica(client, kind, key); });
    for (const auto &answer : answers) {
        if (answer.ok() && answer.value()) {
            return answer.value();
        }
    }
    return std::nullopt;
}

Status RpcPeerNetwork::deleteReplicas(const InstanceId &peer, KeptKind kind,
                                      const std::vector<std::string> &keys)
{
    const auto done = m_private->call<bool>(peer, [&](wire::Peer::Client &client) {
        auto request = client.dropKeptRequest();
        request.setKind(PeerCodec::toWire(kind));
        auto list = request.initKeys(static_cast<unsigned>(keys.size()));
        for (unsigned i = 0; i < keys.size(); ++i) {
            list.set(i, keys[i]);
        }
        return request.send().then([](auto &&) { return true; });
    });
    return done.ok() ? Status() : Status(done.failure());
}

Result<PermitAnswer> RpcPeerNetwork::takePermit(const InstanceId &peer, const InstanceId &backend,
                                                const StartId &startId)
{
    return m_private->call<PermitAnswer>(peer, [&](wire::Peer::Client &client) {
        auto request = client.takePermitRequest();
        request.setBackend(backend.value());
        request.setStartId(startId.value());
        return request.send().then([](auto &&answer) {
            return PermitAnswer{PeerCodec::text(answer.getPermit()),
                                PeerCodec::text(answer.getReason())};
        });
    });
}

Status RpcPeerNetwork::returnPermit(const InstanceId &peer, const InstanceId &backend,
                                    const std::string &permit)
{
    const auto done = m_private->call<bool>(peer, [&](wire::Peer::Client &client) {
        auto request = client.returnPermitRequest();
        request.setBackend(backend.value());
        request.setPermit(permit);
        return request.send().then([](auto &&) { return true; });
    });
    return done.ok() ? Status() : Status(done.failure());
}

} // namespace lycheearch
