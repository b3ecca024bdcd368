#include <criterion/criterion.h>

#include <random>

#include <Poco/Net/StreamSocket.h>

#include "Adapters/HttpClient.h"
#include "Config/ConfigStateMachine.h"
#include "Config/YamlReader.h"
#include "PortLock.h"
#include "Request/RequestContext.h"
#include "State/BillRecord.h"
#include "State/ClaimTable.h"
#include "Timeline/Timeline.h"
#include "Trial.h"

using namespace lycheearch;
using namespace lycheearch::trial;

namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr int MutationRounds = 3000;

/// Changes, removes or duplicates a few bytes of \p text.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    for (int i = 0; i < 4 && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, random() % 8);
            break;
        default:
            text.insert(at, text.substr(random() % text.size(), random() % 16));
            break;
        }
    }
    return text;
}

void sendBytes(std::uint16_t port, const std::string &bytes)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress("127.0.0.1", port));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        socket.shutdownSend();
    } catch (const Poco::Exception &) {
        return; // The daemon may close the connection early.
    }
}

} // namespace

Test(hostileInput, parsers_survive_mutated_documents)
{
    std::mt19937_64 random(Seed);
    ConfigRecord record;
    record.text = "deployment: d\nmodels: [{ id: m, versions: [{ id: v, share: 0.5 }] }]\n";
    const std::string manifest = record.text;
    const std::string encoded = encodeConfigRecord(record);
    const std::string claim = encodeClaimRecord({});
    const std::string bill = encodeBill({});
    const std::string answer = encodeRequestResult({});
    const std::string snapshot = ConfigStateMachine().encodeSnapshot();
    for (int i = 0; i < MutationRounds; ++i) {
        Findings findings;
        parseManifest(mutate(manifest, random), "m", findings);
        ConfigStateMachine stateMachine;
        stateMachine.apply(Offset(0), mutate(encoded, random));
        stateMachine.restoreSnapshot(mutate(snapshot, random));
        decodeClaimRecord(mutate(claim, random));
        decodeBill(mutate(bill, random));
        decodeRequestResult(mutate(answer, random));
        decodeTimeline(mutate("{\"events\":[{\"time\":1,\"kind\":\"x\"}]}", random));
    }
}

Test(hostileInput, daemon_survives_malformed_requests)
{
    FleetPlan plan = loadFleetPlan(std::string(LYCHEEARCH_SOURCE_DIR)
                                   + "/Utilities/Deployments/sitara/fleet.yaml");
    plan.dataCentres = {{"lahore-a", 1}};
    FleetOptions options;
    options.firstPort = 25000;
    const PortLock ports(options.firstPort);
    options.proxied = false;
    const std::string build = LYCHEEARCH_BUILD_DIR;
    Trial trial({build, std::string(LYCHEEARCH_SOURCE_DIR) + "/Utilities/Deployments/sitara",
                 build + "/test-hostile"},
                options, plan);
    trial.startUnmonitored();
    FleetDaemon &daemon = trial.fleet().daemons().front();
    std::mt19937_64 random(Seed);
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                "20\r\nAuthorization: Bearer x\r\n\r\n{\"model\":\"drafting\"}";
    for (int i = 0; i < 300; ++i) {
        sendBytes(daemon.address.port, mutate(request, random));
        sendBytes(daemon.peerPort, mutate(std::string(64, '\x01'), random));
    }
    cr_expect(daemon.process->running());
    const auto status = trial.fleet().status(daemon);
    cr_expect(status.is_object() && status.value("ready", false));
    const auto statusOf = [&](const std::string &path, const std::string &body) {
        const auto answer =
            HttpClient(daemon.address, 3s).send({"POST", path, body, "demo-key-multan"});
        return answer.ok() ? answer.value().status : 0;
    };
    cr_expect_eq(statusOf("/v1/chat/completions", "{"), 400);
    cr_expect_eq(statusOf("/v1/chat/completions", std::string(1'000'001, ' ')), 413);
    cr_expect_eq(statusOf("/v1/services/enquiry-desk/fly", "{}"), 404);
    cr_expect_eq(statusOf("/v1/services/other/fly", "{}"), 403);
    cr_expect_eq(statusOf("/v1/operator/status", ""), 401);
}
