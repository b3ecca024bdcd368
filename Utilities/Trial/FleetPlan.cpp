#include "FleetPlan.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "Config/YamlReader.h"

namespace lycheearch::trial {

namespace {

constexpr Range<std::int64_t> CountRange{0, 10'000};
constexpr Range<std::int64_t> TimeRange{0, 60'000'000};

BackendGroup readGroup(YamlReader &reader)
{
    BackendGroup group;
    group.prefix = reader.requiredText({"prefix", "Start of the names."});
    group.kind = reader.choice({"kind", "What they are."}, {"engine", "service"}, "engine");
    group.backendClass = reader.requiredText({"class", "Class in the manifest."});
    group.service = reader.text({"service", "Plain service."}, "");
    group.count = static_cast<int>(reader.number({"count", "How many."}, CountRange, 1));
    group.versions = reader.texts({"versions", "Versions loaded."});
    group.tokenMicroseconds = reader.number({"token_us", "Time for a token."}, TimeRange, 2000);
    group.callMicroseconds = reader.number({"call_us", "Time for a call."}, TimeRange, 5000);
    group.warmLimit =
        static_cast<int>(reader.number({"warm_limit", "Requests at once."}, CountRange, 8));
    group.coldLimit =
        static_cast<int>(reader.number({"cold_limit", "The same in cold start."}, CountRange, 1));
    group.startsCold = reader.flag({"starts_cold", "Cold at first."}, false);
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
    reader.each({"data_centres", "Data centres."}, [&](YamlReader &part) {
        DataCentrePlan dataCentre;
        dataCentre.id = part.requiredText({"id", "Its name."});
        dataCentre.daemons =
            static_cast<int>(part.number({"daemons", "Its daemons."}, CountRange, 1));
        plan.dataCentres.push_back(dataCentre);
    });
    reader.each({"backend_groups", "Backend servers."},
                [&](YamlReader &part) { plan.groups.push_back(readGroup(part)); });
    reader.each({"versions", "Quality of versions."}, [&](YamlReader &part) {
        VersionQuality version;
        version.id = part.requiredText({"id", "Its name."});
        version.quality = part.real({"quality", "Share of good answers."}, {0.0, 1.0}, 1.0);
        plan.versions.push_back(version);
    });
    reader.finish();
    if (!findings.empty()) {
        throw std::runtime_error(findings.text());
    }
    return plan;
}

} // namespace lycheearch::trial
