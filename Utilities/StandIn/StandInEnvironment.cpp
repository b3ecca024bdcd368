#include "StandInEnvironment.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "Base/Findings.h"
#include "Base/Hash.h"
#include "Config/YamlReader.h"

namespace lycheearch::standin {

namespace {

constexpr Range<std::int64_t> PortRange{1, 65535};
constexpr Range<std::int64_t> CountRange{0, 1'000'000'000};
constexpr double HashBuckets = 1'000'000.0;

BackendSpec readBackend(YamlReader &reader)
{
    BackendSpec spec;
    spec.id = reader.requiredText({"id", "Name of the backend server."});
    spec.kind = reader.choice({"kind", "Kind of backend server."}, {"engine", "service"}, "engine");
    spec.dataCentre = reader.requiredText({"data_centre", "Data centre of the server."});
    spec.backendClass = reader.requiredText({"class", "Backend class in the manifest."});
    spec.service =
        reader.text({"service", "Plain service that the server offers, for kind service."}, "");
    spec.port = static_cast<std::uint16_t>(
        reader.integer({"port", "Loopback port of the server."}, PortRange, 1));
    spec.warmLimit = static_cast<int>(
        reader.integer({"warm_limit", "Limit of concurrent requests while warm."}, CountRange, 8));
    spec.coldLimit = static_cast<int>(
        reader.integer({"cold_limit", "Limit of concurrent requests while cold."}, CountRange, 1));
    spec.warmUpRequests = static_cast<int>(reader.integer(
        {"warm_up_requests", "Completed requests after which a cold server is warm."}, CountRange,
        3));
    spec.tokenMicroseconds =
        reader.integer({"token_us", "Microseconds per generated token."}, CountRange, 2'000);
    spec.callMicroseconds =
        reader.integer({"call_us", "Microseconds per call."}, CountRange, 5'000);
    spec.startsCold = reader.flag({"starts_cold", "Whether the server starts cold."}, false);
    for (const std::string &version :
         reader.texts({"versions", "Model versions loaded at start."})) {
        spec.versions.insert(version);
    }
    return spec;
}

ListedInstance readDaemonInstance(YamlReader &reader)
{
    ListedInstance entry;
    entry.kind = "entry";
    entry.id = reader.requiredText({"id", "Instance id of the daemon."});
    entry.dataCentre = reader.requiredText({"data_centre", "Data centre of the daemon."});
    entry.address = reader.requiredText({"address", "Address that callers connect to."});
    entry.peerAddress =
        reader.requiredText({"peer_address", "Address that peer daemons connect to."});
    return entry;
}

ListedInstance toListedInstance(const BackendSpec &spec)
{
    return {spec.id, spec.kind,         spec.dataCentre, "127.0.0.1:" + std::to_string(spec.port),
            "",      spec.backendClass, spec.service};
}

} // namespace

StandInEnvironment::StandInEnvironment(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    Findings findings;
    YamlReader reader(YamlReader::parse(text.str(), path, findings), path, "", findings);
    m_platformPort = static_cast<std::uint16_t>(reader.integer(
        {"platform_port", "Loopback port of the platform's services."}, PortRange, 9000));
    reader.each({"entries", "Daemons; their kind in the instance list is entry."},
                [&](YamlReader &entry) { m_instances.push_back(readDaemonInstance(entry)); });
    reader.each({"backends", "Backend servers."}, [&](YamlReader &backend) {
        const BackendSpec spec = readBackend(backend);
        m_instances.push_back(toListedInstance(spec));
        m_backends.push_back(std::make_unique<StandInBackend>(spec, m_journal));
    });
    reader.each({"versions", "Answer quality of each version."}, [&](YamlReader &version) {
        RatedVersion rated;
        rated.id = version.requiredText({"id", "Name of the version."});
        rated.quality = version.real({"quality", "Share of answers that are rated good."},
                                     {0.0, 1.0}, rated.quality);
        m_versions.push_back(rated);
    });
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        throw std::runtime_error(findings.text());
    }
}

StandInBackend *StandInEnvironment::findBackend(const std::string &id)
{
    for (const auto &backend : m_backends) {
        if (backend->spec().id == id) {
            return backend.get();
        }
    }
    return nullptr;
}

std::string StandInEnvironment::instanceListText() const
{
    std::lock_guard lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const ListedInstance &instance : m_instances) {
        list.push_back({{"id", instance.id},
                        {"kind", instance.kind},
                        {"data_centre", instance.dataCentre},
                        {"address", instance.address},
                        {"peer_address", instance.peerAddress},
                        {"class", instance.backendClass},
                        {"service", instance.service},
                        {"state", instance.leaving ? "leaving" : "live"}});
    }
    return nlohmann::json{{"instances", list}}.dump();
}

void StandInEnvironment::setInstance(const ListedInstance &instance)
{
    removeInstance(instance.id);
    std::lock_guard lock(m_mutex);
    m_instances.push_back(instance);
}

void StandInEnvironment::removeInstance(const std::string &id)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_instances, [&](const ListedInstance &entry) { return entry.id == id; });
}

void StandInEnvironment::setLeaving(const std::string &id, bool leaving)
{
    std::lock_guard lock(m_mutex);
    for (ListedInstance &instance : m_instances) {
        if (instance.id == id) {
            instance.leaving = leaving;
        }
    }
}

double StandInEnvironment::score(const std::string &request, const std::string &version) const
{
    std::lock_guard lock(m_mutex);
    double quality = 0.0;
    for (const RatedVersion &rated : m_versions) {
        if (rated.id == version) {
            quality = rated.quality;
        }
    }
    const std::uint64_t bucket =
        stableHash(request + "/" + version) % static_cast<std::uint64_t>(HashBuckets);
    return static_cast<double>(bucket) / HashBuckets < quality ? 1.0 : 0.0;
}

void StandInEnvironment::setQuality(const std::string &version, double quality)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_versions, [&](const RatedVersion &rated) { return rated.id == version; });
    m_versions.push_back({version, quality});
}

} // namespace lycheearch::standin
