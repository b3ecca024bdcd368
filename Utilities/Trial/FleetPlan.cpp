#include "FleetPlan.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "Config/YamlReader.h"

namespace lycheearch::trial {

namespace {

constexpr Range<std::int64_t> CountRange{0, 10'000};
constexpr Range<std::int64_t> MicrosecondsRange{0, 60'000'000};

BackendGroup readGroup(YamlReader &reader)
{
    BackendGroup group;
    group.prefix = reader.requiredText({"prefix", "Start of the server names."});
    group.kind =
        reader.choice({"kind", "Kind of the backend servers."}, {"engine", "service"}, "engine");
    group.backendClass = reader.requiredText({"class", "Backend class in the manifest."});
    group.service = reader.text({"service", "Plain service that the servers offer."}, "");
    group.count = static_cast<int>(reader.integer({"count", "Number of servers."}, CountRange, 1));
    group.versions = reader.texts({"versions", "Model versions loaded at start."});
    group.tokenMicroseconds = reader.integer(
        {"token_us", "Time to generate a token, microseconds."}, MicrosecondsRange, 2000);
    group.callMicroseconds =
        reader.integer({"call_us", "Time to run a call, microseconds."}, MicrosecondsRange, 5000);
    group.warmLimit = static_cast<int>(reader.integer(
        {"warm_limit", "Concurrent requests that a warm server accepts."}, CountRange, 8));
    group.coldLimit = static_cast<int>(
        reader.integer({"cold_limit", "Concurrent requests during cold start."}, CountRange, 1));
    group.startsCold = reader.flag({"starts_cold", "Servers start cold."}, false);
    return group;
}

} // namespace

FleetPlan loadFleetPlan(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    Findings findings;
    YamlReader reader(YamlReader::parse(text.str(), path, findings), path, "", findings);
    FleetPlan plan;
    reader.each({"data_centres", "Data centres."}, [&](YamlReader &item) {
        DataCentrePlan dataCentre;
        dataCentre.id = item.requiredText({"id", "Name of the data centre."});
        dataCentre.daemons =
            static_cast<int>(item.integer({"daemons", "Number of daemons."}, CountRange, 1));
        plan.dataCentres.push_back(dataCentre);
    });
    reader.each({"backend_groups", "Groups of identical backend servers."},
                [&](YamlReader &item) { plan.groups.push_back(readGroup(item)); });
    reader.each({"versions", "Quality of model versions."}, [&](YamlReader &item) {
        VersionQuality version;
        version.id = item.requiredText({"id", "Name of the version."});
        version.quality = item.real({"quality", "Share of good answers, 0 to 1."}, {0.0, 1.0}, 1.0);
        plan.versions.push_back(version);
    });
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        throw std::runtime_error(findings.text());
    }
    return plan;
}

} // namespace lycheearch::trial
