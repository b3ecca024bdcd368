#include "Overhead.h"

#include <algorithm>
#include <iomanip>
#include <istream>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "Base/Hash.h"
#include "Platform/HttpClient.h"

namespace lycheearch::trial {

namespace {

constexpr int Tokens = 20;

/// Times of repeated requests of one kind, in milliseconds.
struct Sample
{
    std::vector<double> first; ///< Until the first line of the body.
    std::vector<double> total;
};

struct Probe
{
    Endpoint address;
    std::string path;
    std::string body;
    bool keyed = false;
};

double millisecondsSince(TimePoint start)
{
    return std::chrono::duration<double, std::milli>(SystemClock().now() - start).count();
}

void sendOnce(Poco::Net::HTTPClientSession &session, const Probe &probe, Sample &sample)
{
    Poco::Net::HTTPRequest request("POST", probe.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(true);
    request.setCredentials("Bearer", "demo-key-multan");
    request.set("X-Request-Id", randomHex());
    if (probe.keyed) {
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
        throw std::runtime_error("a probe was answered with status "
                                 + std::to_string(response.getStatus()));
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

/// The address of the first listed backend server that \p wanted accepts.
Endpoint addressOf(const nlohmann::json &instances, const std::string &kind)
{
    for (const auto &instance : instances) {
        if (instance.at("kind") == kind) {
            return Endpoint::parse(instance.at("address").get<std::string>()).value();
        }
    }
    throw std::runtime_error("no backend server of kind " + kind);
}

} // namespace

void measureOverhead(Trial &trial, int repetitions, std::ostream &out)
{
    const auto listed =
        HttpClient(trial.fleet().platform(), 2s).send({"GET", "/instances", "", ""});
    const auto instances = nlohmann::json::parse(listed.value().body).at("instances");
    const Endpoint service = addressOf(instances, "service");
    const Endpoint engine = addressOf(instances, "engine");
    const FleetDaemon &daemon = trial.fleet().daemons().front();
    const std::string version = trial.manifest().models.begin()->second.versions.front().id.value();
    const std::string model = trial.manifest().models.begin()->first.value();
    const std::string serviceName = trial.manifest().services.begin()->first.value();
    const nlohmann::json generate{{"request_id", "probe"},
                                  {"version", version},
                                  {"prompt", "nonce=probe"},
                                  {"max_tokens", Tokens}};
    const nlohmann::json chat{{"model", model},
                              {"stream", true},
                              {"max_tokens", Tokens},
                              {"messages", {{{"role", "user"}, {"content", "nonce=probe"}}}}};
    const std::string lookup = "/v1/services/" + serviceName + "/lookup";
    const Sample directCall = measure({service, "/call/lookup", "{}"}, repetitions);
    const Duration before = daemon.process->processorTime();
    const TimePoint start = SystemClock().now();
    const Sample routedCall = measure({daemon.address, lookup, "{}"}, repetitions);
    const Duration used = daemon.process->processorTime() - before;
    const double seconds = millisecondsSince(start) / 1000;
    const Sample keyedCall = measure({daemon.address, lookup, "{}", true}, repetitions);
    const Sample directStream = measure({engine, "/generate", generate.dump()}, repetitions / 4);
    const Sample routedStream =
        measure({daemon.address, "/v1/chat/completions", chat.dump()}, repetitions / 4);
    out << std::left << std::setw(34) << "call, milliseconds" << std::right << std::setw(9)
        << "direct" << std::setw(9) << "routed" << std::setw(8) << "ratio" << std::setw(9)
        << "direct" << std::setw(9) << "routed" << std::setw(8) << "ratio"
        << "\n"
        << std::setw(34) << "" << std::setw(26) << "p50" << std::setw(26) << "p99"
        << "\n";
    printRow("lookup without a key", directCall.total, routedCall.total, out);
    printRow("lookup with a key", directCall.total, keyedCall.total, out);
    printRow("stream, first token", directStream.first, routedStream.first, out);
    printRow("stream, whole answer", directStream.total, routedStream.total, out);
    const double perRequest =
        std::chrono::duration<double>(used).count() / (static_cast<double>(repetitions) * 1.1);
    out << "processor time of a lookup in its daemon, with control: " << std::setprecision(3)
        << perRequest * 1000 << " ms, or " << std::setprecision(0) << 1 / perRequest
        << " requests/s a core (over " << std::setprecision(1) << seconds << " s)\n";
}

} // namespace lycheearch::trial
