#include "Overhead.h"

#include <algorithm>
#include <iomanip>
#include <istream>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "Adapters/HttpClient.h"
#include "Base/Hash.h"

namespace lycheearch::trial {

namespace {

constexpr int AnswerTokens = 20;

/// Latencies of repeated requests of one kind, in milliseconds.
struct Sample
{
    std::vector<double> first; ///< To the first line of the body.
    std::vector<double> total; ///< To the end of the body.
};

/// A request that is sent repeatedly.
struct Probe
{
    Endpoint address;
    std::string path;
    std::string body;
    std::string account;
    bool withKey = false; ///< Sends a new idempotency key with each request.
};

double millisecondsSince(TimePoint start)
{
    return std::chrono::duration<double, std::milli>(SystemClock().now() - start).count();
}

void sendOnce(Poco::Net::HTTPClientSession &session, const Probe &probe, Sample &sample)
{
    Poco::Net::HTTPRequest request("POST", probe.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(true);
    request.setCredentials("Bearer", "demo-key-" + probe.account);
    request.set("X-Request-Id", randomHex());
    if (probe.withKey) {
        request.set("Idempotency-Key", randomHex());
    }
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(probe.body.size()));
    const TimePoint start = SystemClock().now();
    session.sendRequest(request) << probe.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    std::string line;
    bool first = true;
    while (std::getline(stream, line)) {
        if (first) {
            sample.first.push_back(millisecondsSince(start));
            first = false;
        }
    }
    sample.total.push_back(millisecondsSince(start));
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
        throw std::runtime_error("a probe received status " + std::to_string(response.getStatus()));
    }
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

Sample measure(const Probe &probe, int repetitions)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(probe.address.host, probe.address.port));
    socket.setNoDelay(true);
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(true);
    session.setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::MINUTES));
    Sample warmUp;
    for (int i = 0; i < repetitions / 10; ++i) {
        sendOnce(session, probe, warmUp);
    }
    Sample sample;
    for (int i = 0; i < repetitions; ++i) {
        sendOnce(session, probe, sample);
    }
    return sample;
}

void printRow(const std::string &name, const std::vector<double> &direct,
              const std::vector<double> &routed, std::ostream &out)
{
    out << std::left << std::setw(34) << name << std::right << std::fixed << std::setprecision(2);
    for (const double share : {0.50, 0.99}) {
        const double before = percentile(direct, share);
        const double after = percentile(routed, share);
        out << std::setw(9) << before << std::setw(9) << after << std::setw(8) << after / before;
    }
    out << "\n";
}

/// The address of the first listed backend server whose name starts with \p prefix.
Endpoint addressOf(const nlohmann::json &instances, const std::string &prefix)
{
    for (const auto &instance : instances) {
        if (instance.at("id").get<std::string>().starts_with(prefix)) {
            return Endpoint::parse(instance.at("address").get<std::string>()).value();
        }
    }
    throw std::runtime_error("no backend server is listed with the prefix " + prefix);
}

/// The first group of backend servers that has \p version loaded, or that offers a plain service if
/// \p version is empty.
const BackendGroup &groupOf(const FleetPlan &plan, const std::string &version)
{
    for (const BackendGroup &group : plan.groups) {
        const bool loaded = std::find(group.versions.begin(), group.versions.end(), version)
            != group.versions.end();
        if (version.empty() ? group.kind == "service" : loaded) {
            return group;
        }
    }
    throw std::runtime_error("no backend server offers " + version);
}

/// An account that is limited to one version, so that direct and routed calls run the same version.
const AccountSpec &accountWithOneVersion(const Manifest &manifest)
{
    for (const auto &[id, account] : manifest.accounts) {
        if (account.versions.size() == 1) {
            return account;
        }
    }
    throw std::runtime_error("no account is limited to one version");
}

const AccountSpec &accountWithServices(const Manifest &manifest)
{
    for (const auto &[id, account] : manifest.accounts) {
        if (!account.services.empty()) {
            return account;
        }
    }
    throw std::runtime_error("no account may use a service");
}

} // namespace

void measureOverhead(Trial &trial, int repetitions, std::ostream &out)
{
    const auto listed =
        HttpClient(trial.fleet().platform(), 2s).send({"GET", "/instances", "", ""});
    const auto instances = nlohmann::json::parse(listed.value().body).at("instances");
    const Manifest &manifest = trial.manifest();
    const AccountSpec &chatAccount = accountWithOneVersion(manifest);
    const std::string version = chatAccount.versions.begin()->value();
    const std::string serviceAccount = accountWithServices(manifest).id.value();
    const FleetPlan &plan = trial.fleet().plan();
    const Endpoint service = addressOf(instances, groupOf(plan, "").prefix);
    const Endpoint engine = addressOf(instances, groupOf(plan, version).prefix);
    const FleetDaemon &daemon = trial.fleet().daemons().front();
    const std::string model = chatAccount.models.begin()->value();
    const ServiceSpec &spec = manifest.services.begin()->second;
    const std::string operation = spec.operations.front().name.value();
    const nlohmann::json generate{{"request_id", "probe"},
                                  {"version", version},
                                  {"prompt", "nonce=probe"},
                                  {"max_tokens", AnswerTokens}};
    const nlohmann::json chat{{"model", model},
                              {"stream", true},
                              {"max_tokens", AnswerTokens},
                              {"messages", {{{"role", "user"}, {"content", "nonce=probe"}}}}};
    const std::string path = "/v1/services/" + spec.id.value() + "/" + operation;
    const Sample directCall =
        measure({service, "/call/" + operation, "{}", serviceAccount}, repetitions);
    const Duration before = daemon.process->processorTime();
    const TimePoint start = SystemClock().now();
    const Sample routedCall = measure({daemon.address, path, "{}", serviceAccount}, repetitions);
    const Duration processorTimeUsed = daemon.process->processorTime() - before;
    const double seconds = millisecondsSince(start) / 1000;
    const Sample callWithKey =
        measure({daemon.address, path, "{}", serviceAccount, true}, repetitions);
    const Sample directStream =
        measure({engine, "/generate", generate.dump(), chatAccount.id.value()}, repetitions / 4);
    const Sample routedStream =
        measure({daemon.address, "/v1/chat/completions", chat.dump(), chatAccount.id.value()},
                repetitions / 4);
    out << std::left << std::setw(34) << "call, milliseconds" << std::right << std::setw(9)
        << "direct" << std::setw(9) << "routed" << std::setw(8) << "ratio" << std::setw(9)
        << "direct" << std::setw(9) << "routed" << std::setw(8) << "ratio"
        << "\n"
        << std::setw(34) << "" << std::setw(26) << "p50" << std::setw(26) << "p99"
        << "\n";
    printRow("lookup without a key", directCall.total, routedCall.total, out);
    printRow("lookup with a key", directCall.total, callWithKey.total, out);
    printRow("stream, first token", directStream.first, routedStream.first, out);
    printRow("stream, whole answer", directStream.total, routedStream.total, out);
    // The factor accounts for the warm-up requests of measure(), a tenth of the repetitions.
    const double perRequest = std::chrono::duration<double>(processorTimeUsed).count()
        / (static_cast<double>(repetitions) * 1.1);
    out << "processor time per lookup in the daemon, control work included: "
        << std::setprecision(3) << perRequest * 1000 << " ms, or " << std::setprecision(0)
        << 1 / perRequest << " requests/s per core (over " << std::setprecision(1) << seconds
        << " s)\n";
}

} // namespace lycheearch::trial
