#include <criterion/criterion.h>

#include <random>

#include <nlohmann/json.hpp>

#include "Fleet/RecordDecoder.h"
#include "Fleet/RecordJson.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;
using Json = nlohmann::json;

namespace {

constexpr std::uint32_t FirstSeed = 571;
constexpr int Series = 3000;
constexpr int VersionsOfSeries = 12;
constexpr int InitialRoutes = 8;

/// Counts what is decoded.
class CountingCodec : public platform::PlatformRecordCodec
{
public:
    FleetRecord decode(Topic topic, const RawRecord &record) const override
    {
        ++whole;
        return PlatformRecordCodec::decode(topic, record);
    }
    Route decodeRoute(const std::string &text) const override
    {
        ++routes;
        return PlatformRecordCodec::decodeRoute(text);
    }

    mutable int whole = 0;
    mutable int routes = 0;
};

Json routeJson(const std::string &name)
{
    return {{"Name", name},         {"Host", "h.example"}, {"PathPrefix", "/" + name + "/"},
            {"Kind", "idempotent"}, {"Service", "s"},      {"TimeoutMs", 4000}};
}

Json configJson(int version, int routes)
{
    Json config = {{"Version", version},
                   {"Routes", Json::array()},
                   {"Services", {{{"Name", "s"}, {"HealthPath", "/health"}}}},
                   {"Tenants", {{{"Name", "a"}, {"ApiKeys", {"k"}}}}}};
    for (int i = 0; i < routes; ++i) {
        config["Routes"].push_back(routeJson("r" + std::to_string(i)));
    }
    return config;
}

RawRecord recordOf(const std::string &text)
{
    return {Offset(0), "config", text};
}

const RoutingConfig *configOf(const FleetRecord &record)
{
    const auto *published = std::get_if<ConfigPublished>(&record);
    return published == nullptr ? nullptr : published->config.get();
}

std::string reasonOf(const FleetRecord &record)
{
    const auto *unreadable = std::get_if<UnreadableRecord>(&record);
    return unreadable == nullptr ? "" : unreadable->reason;
}

/// A series of versions of a configuration; each differs from the one before in some parts.
class ConfigSeries
{
public:
    explicit ConfigSeries(std::uint32_t seed)
        : m_random(seed)
        , m_config(configJson(1, InitialRoutes))
        , m_names(InitialRoutes)
    {
    }

    /// The text of the next version, which is unsound or not newer at times.
    std::string next()
    {
        for (int changes = upTo(3); changes >= 0; --changes) {
            change();
        }
        m_config["Version"] = m_config["Version"].get<int>() + 1;
        std::string text = format(m_config);
        return upTo(3) == 0 ? unsound(std::move(text)) : text;
    }

private:
    int upTo(int highest) { return static_cast<int>(m_random() % (highest + 1)); }

    Json &routes() { return m_config["Routes"]; }
    std::size_t anyRoute() { return m_random() % routes().size(); }

    void change()
    {
        if (routes().empty() || upTo(3) == 0) {
            const std::size_t at = m_random() % (routes().size() + 1);
            routes().insert(routes().begin() + static_cast<std::ptrdiff_t>(at),
                            routeJson("r" + std::to_string(m_names++)));
            return;
        }
        Json &route = routes()[anyRoute()];
        switch (upTo(7)) {
        case 0:
            route["Service"] = "s" + std::to_string(upTo(4));
            break;
        case 1:
            route["Backends"] = {{{"Service", "s"}, {"Weight", upTo(9)}},
                                 {{"Service", "t"}, {"Weight", 1}}};
            break;
        case 2:
            route["TimeoutMs"] = upTo(9000);
            break;
        case 3:
            routes().erase(anyRoute());
            break;
        case 4:
            std::swap(routes()[anyRoute()], routes()[anyRoute()]);
            break;
        case 5:
            m_config["Tenants"][0]["ApiKeys"] = {"k" + std::to_string(upTo(5)), "]},\"Routes\":["};
            break;
        case 6:
            m_config["Limits"] = {{"MaxHeaderBytes", upTo(9000)}};
            break;
        default:
            route["Host"] = upTo(1) == 0 ? "g.example" : "\"}],[{\\";
            break;
        }
    }

    /// The text with spaces, or with the members in another order.
    std::string format(const Json &config)
    {
        if (upTo(2) != 0) {
            return config.dump(upTo(4) - 1);
        }
        std::string text;
        std::vector<std::string> names;
        for (const auto &[name, value] : config.items()) {
            names.push_back(name);
        }
        std::shuffle(names.begin(), names.end(), m_random);
        for (const std::string &name : names) {
            text += (text.empty() ? "{ " : " ,\n") + Json(name).dump()
                + "\t:" + config[name].dump(upTo(2) - 1);
        }
        return text + " }";
    }

    /// The text with a fault, or in a form that is sound but unusual.
    std::string unsound(std::string text)
    {
        static const std::vector<std::string> inserted = {"{",     "}",
                                                          "[",     "]",
                                                          ",",     ":",
                                                          "\"",    "\\",
                                                          "null",  "{}",
                                                          "[]",    "1e9",
                                                          "1e999", "\xff",
                                                          "\n",    "//",
                                                          "-",     "\"Routes\":[],",
                                                          " ",     "[[]",
                                                          "{,}",   "\\u0052",
                                                          "0",     "true",
                                                          "\"a\"", "\"Version\":3,"};
        const std::size_t at = m_random() % text.size();
        switch (upTo(7)) {
        case 0:
            return text.substr(0, at);
        case 1:
            text[at] = static_cast<char>(m_random());
            return text;
        case 2:
            return text.insert(at, inserted[m_random() % inserted.size()]);
        case 3:
            return text.insert(at, 1, '\0');
        case 4:
            return text.erase(at, m_random() % 8);
        case 5:
            return withDoubledRoute();
        case 6:
            return text.insert(text.find('{') + 1, "\"\\u0052outes\":[],\"Routes\":{},");
        default:
            return text.replace(text.find("\"Version\""), 9, "\"Version\":0,\"Vers\"");
        }
    }

    std::string withDoubledRoute()
    {
        Json config = m_config;
        config["Routes"].push_back(routeJson("doubled"));
        config["Routes"].push_back(routeJson("doubled"));
        return config.dump();
    }

    std::mt19937 m_random;
    Json m_config;
    int m_names;
};

/// Whether a record decoded in parts means the same as the one decoded as a whole.
bool sameMeaning(const FleetRecord &record, const FleetRecord &whole,
                 std::optional<ConfigVersion> inForce)
{
    if (const auto *outdated = std::get_if<ConfigOutdated>(&record)) {
        const RoutingConfig *config = configOf(whole);
        return inForce && outdated->version <= *inForce
            && (config == nullptr || config->version == outdated->version);
    }
    if (configOf(record) != nullptr && configOf(whole) != nullptr) {
        return *configOf(record) == *configOf(whole);
    }
    return !reasonOf(whole).empty() && reasonOf(record) == reasonOf(whole);
}

} // namespace

Test(recordDecoder, versions_decoded_in_parts_equal_those_decoded_as_a_whole)
{
    const platform::PlatformRecordCodec codec;
    int published = 0;
    int refused = 0;
    for (std::uint32_t seed = FirstSeed; seed < FirstSeed + Series; ++seed) {
        ConfigSeries series(seed);
        RecordDecoder decoder(codec);
        std::optional<ConfigVersion> inForce;
        for (int i = 0; i < VersionsOfSeries; ++i) {
            const RawRecord raw = recordOf(series.next());
            const FleetRecord record = decoder.decode(Topic::Operator, raw, inForce);
            const FleetRecord whole = codec.decode(Topic::Operator, raw);
            cr_assert(sameMeaning(record, whole, inForce), "seed %u, version %d: %s | %s | %s",
                      seed, i, raw.value.c_str(), reasonOf(record).c_str(),
                      reasonOf(whole).c_str());
            const RoutingConfig *config = configOf(record);
            published += config != nullptr ? 1 : 0;
            refused += config == nullptr ? 1 : 0;
            if (config != nullptr && (!inForce || config->version > *inForce)) {
                inForce = config->version;
            }
        }
    }
    cr_expect(published > Series && refused > Series, "%d published, %d refused", published,
              refused);
}

Test(recordDecoder, only_the_route_that_differs_is_decoded)
{
    const CountingCodec codec;
    RecordDecoder decoder(codec);
    Json config = configJson(1, 100);
    const FleetRecord first = decoder.decode(Topic::Operator, recordOf(config.dump()), {});
    cr_expect_eq(codec.routes, 100);
    config["Version"] = 2;
    config["Routes"][40]["TimeoutMs"] = 1;
    const FleetRecord second =
        decoder.decode(Topic::Operator, recordOf(config.dump()), ConfigVersion(1));
    cr_assert_not_null(configOf(second));
    cr_expect_eq(codec.routes, 101);
    cr_expect_eq(codec.whole, 0);
    cr_expect_eq(configOf(second)->routes.all()[41], configOf(first)->routes.all()[41]);
    cr_expect_eq(configOf(second)->routes.at(40).timeout.count(), Duration(1ms).count());
}

Test(recordDecoder, added_removed_and_moved_routes_leave_the_others_as_they_are)
{
    const CountingCodec codec;
    RecordDecoder decoder(codec);
    Json config = configJson(1, 100);
    decoder.decode(Topic::Operator, recordOf(config.dump()), {});
    config["Version"] = 2;
    Json &routes = config["Routes"];
    routes.erase(10);
    routes.insert(routes.begin() + 50, routeJson("new"));
    std::swap(routes[20], routes[90]);
    const FleetRecord record =
        decoder.decode(Topic::Operator, recordOf(config.dump()), ConfigVersion(1));
    cr_expect_eq(codec.routes, 101);
    cr_expect(*configOf(record)
              == *configOf(codec.decode(Topic::Operator, recordOf(config.dump()))));
}

Test(recordDecoder, routes_of_a_version_that_is_not_newer_are_not_decoded)
{
    const CountingCodec codec;
    RecordDecoder decoder(codec);
    const RawRecord raw = recordOf(configJson(7, 5).dump());
    cr_expect(std::holds_alternative<ConfigOutdated>(
        decoder.decode(Topic::Operator, raw, ConfigVersion(7))));
    cr_expect_eq(codec.routes + codec.whole, 0);
    cr_expect_not_null(configOf(decoder.decode(Topic::Operator, raw, ConfigVersion(6))));
}

Test(recordDecoder, a_bad_record_in_between_does_not_affect_the_next_version)
{
    const CountingCodec codec;
    RecordDecoder decoder(codec);
    Json config = configJson(1, 20);
    decoder.decode(Topic::Operator, recordOf(config.dump()), {});
    config["Version"] = 2;
    std::string bad = config.dump();
    bad.pop_back();
    cr_expect_neq(reasonOf(decoder.decode(Topic::Operator, recordOf(bad), ConfigVersion(1))), "");
    cr_expect_not_null(
        configOf(decoder.decode(Topic::Operator, recordOf(config.dump()), ConfigVersion(1))));
    cr_expect_eq(codec.routes, 20);
}

Test(recordDecoder, other_records_are_decoded_by_the_codec)
{
    const platform::PlatformRecordCodec codec;
    RecordDecoder decoder(codec);
    cr_expect(std::holds_alternative<RolloutWithdrawn>(
        decoder.decode(Topic::Operator, {Offset(0), "rollout/s", ""}, {})));
    cr_expect_neq(reasonOf(decoder.decode(Topic::Operator, recordOf(""), {})), "");
    cr_expect(std::holds_alternative<BackendRemoved>(
        decoder.decode(Topic::Backends, {Offset(0), "config", ""}, {})));
}

Test(recordDecoder, a_doubled_route_name_is_refused_with_its_place)
{
    const platform::PlatformRecordCodec codec;
    Json config = configJson(2, 5);
    config["Routes"].push_back(routeJson("r3"));
    const RawRecord raw = recordOf(config.dump());
    const std::string whole = reasonOf(codec.decode(Topic::Operator, raw));
    cr_expect(whole.find("Routes[5].") != std::string::npos, "%s", whole.c_str());
    const std::string inParts = reasonOf(RecordDecoder(codec).decode(Topic::Operator, raw, {}));
    cr_expect_str_eq(inParts.c_str(), whole.c_str());
}

Test(recordDecoder, an_unsound_route_is_refused_with_its_place)
{
    const platform::PlatformRecordCodec codec;
    Json config = configJson(2, 5);
    config["Routes"][3]["Sizes"] = {7};
    const std::string models =
        reasonOf(RecordDecoder(codec).decode(Topic::Operator, recordOf(config.dump()), {}));
    cr_expect(models.find("Routes[3].Sizes") != std::string::npos, "%s", models.c_str());
    config = configJson(2, 5);
    config["Routes"][4]["PathPrefix"] = "/" + std::string(64UL * 1024, 'x') + "/";
    const std::string prefix =
        reasonOf(RecordDecoder(codec).decode(Topic::Operator, recordOf(config.dump()), {}));
    cr_expect(prefix.find("Routes[4].PathPrefix") != std::string::npos, "%s", prefix.c_str());
}

Test(recordDecoder, a_record_with_too_many_routes_is_refused_before_they_are_decoded)
{
    const CountingCodec codec;
    std::string text = R"({"Version":2,"Services":[],"Routes":[{})";
    for (std::size_t i = 0; i < MaxRoutes; ++i) {
        text += ",{}";
    }
    text += "]}";
    const std::string reason =
        reasonOf(RecordDecoder(codec).decode(Topic::Operator, recordOf(text), {}));
    cr_expect(reason.find("at Routes: expected at most") == 0, "%s", reason.c_str());
    cr_expect_eq(codec.routes + codec.whole, 0);
    const std::string whole = reasonOf(codec.decode(Topic::Operator, recordOf(text)));
    cr_expect_str_eq(whole.c_str(), reason.c_str());
}

Test(recordDecoder, a_record_of_many_megabytes_is_refused)
{
    const platform::PlatformRecordCodec codec;
    std::string text = configJson(2, 1).dump();
    text.insert(1, 9UL * 1024 * 1024, ' ');
    const std::string reason =
        reasonOf(RecordDecoder(codec).decode(Topic::Operator, recordOf(text), {}));
    cr_expect(reason.find("bytes") != std::string::npos, "%s", reason.c_str());
}
