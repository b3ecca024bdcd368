#pragma once

#include <trompeloeil.hpp>

#include "Adapters/LogService.h"
#include "Peer/PeerNetwork.h"

namespace lycheearch {

/// A clock that only advances when a test sets it.
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return time; }
    WallTime wallTime() const override { return {}; }

    TimePoint time = TimePoint() + 1000s;
};

class MockLogService : public trompeloeil::mock_interface<LogService>
{
public:
    IMPLEMENT_MOCK2(append);
    IMPLEMENT_MOCK4(read);
};

class MockPeerNetwork : public trompeloeil::mock_interface<PeerNetwork>
{
public:
    IMPLEMENT_MOCK1(setPeers);
    IMPLEMENT_MOCK2(sendHeartbeat);
    IMPLEMENT_MOCK2(sendHeartbeatToAll);
    IMPLEMENT_MOCK2(fetchConfig);
    IMPLEMENT_MOCK2(requestClaimConsent);
    IMPLEMENT_MOCK3(releaseClaim);
    IMPLEMENT_MOCK3(claimStatus);
    IMPLEMENT_MOCK1(copyClaims);
    IMPLEMENT_MOCK2(storeReplicas);
    IMPLEMENT_MOCK2(storeReplicasAtAll);
    IMPLEMENT_MOCK3(fetchReplicaFromAny);
    IMPLEMENT_MOCK3(fetchReplica);
    IMPLEMENT_MOCK3(deleteReplicas);
    IMPLEMENT_MOCK3(takePermit);
    IMPLEMENT_MOCK3(returnPermit);
};

} // namespace lycheearch

namespace trompeloeil {

/// Reports a violated expectation as a test failure.
template <>
struct reporter<specialized>
{
    static void send(severity level, const char *, unsigned long, const char *message)
    {
        if (level == severity::fatal) {
            throw expectation_violation(message);
        }
        cr_expect(false, "%s", message);
    }

    static void sendOk(const char *) { }
};

} // namespace trompeloeil
