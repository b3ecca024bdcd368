#include "Decisions.h"

#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "FleetPlan.h"
#include "Routing/Planner.h"
#include "Routing/RolloutWatch.h"

namespace lycheearch::trial {

namespace {

constexpr double SampledShare = 0.2;
constexpr double RatingMistakes = 0.03; ///< Share of ratings that are inverted.
constexpr int RequestsPerLook = 20; ///< Between two checks by the roll-out watch.
constexpr std::int64_t TokensPerAnswer = 100;
const TaskClass Class("all");

/// Total cost and answer quality of a policy.
struct Tally
{
    double cost = 0;
    double costBefore = 0; ///< Cost of the first half of the requests.
    int good = 0; ///< Good answers delivered.
    int exposed = 0; ///< Bad answers delivered from the bad version, from when it became bad.
    int requests = 0;
};

/// Simulates versions whose answers are good if the difficulty of the request, 0 to 1, is below the
/// quality of the version, and a rating service that makes errors.
class World
{
public:
    World(const Manifest &manifest, const FleetPlan &plan, std::uint64_t seed)
        : m_manifest(manifest)
        , m_random(seed)
    {
        for (const VersionQuality &version : plan.versions) {
            m_quality[VersionId(version.id)] = version.quality;
        }
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool isGood(const VersionId &version, double difficulty) const
    {
        return difficulty < m_quality.at(version);
    }
    bool rate(bool good) { return draw() < RatingMistakes ? !good : good; }
    void turnBad(const VersionId &version) { m_quality[version] = 0; }
    double cost(const VersionId &version) const
    {
        const VersionSpec &spec = *m_manifest.findVersion(version);
        return static_cast<double>(spec.costPerRequest.value()
                                   + spec.costPerToken.value() * TokensPerAnswer);
    }

private:
    const Manifest &m_manifest;
    std::mt19937_64 m_random;
    std::map<VersionId, double> m_quality;
};

/// A policy for choosing versions. Adds the cost of each run to the result and returns the version
/// whose answer was delivered.
using Way = std::function<VersionId(World &, double difficulty, Tally &)>;

Tally play(World world, const Way &way, int requests, const VersionId &turningBad)
{
    Tally tally;
    for (int i = 0; i < requests; ++i) {
        if (i == requests / 2) {
            tally.costBefore = tally.cost;
            world.turnBad(turningBad);
        }
        const double difficulty = world.draw();
        const VersionId delivered = way(world, difficulty, tally);
        const bool good = world.isGood(delivered, difficulty);
        tally.good += good ? 1 : 0;
        tally.exposed += !good && i >= requests / 2 && delivered == turningBad ? 1 : 0;
        ++tally.requests;
    }
    return tally;
}

Way always(const VersionId &version)
{
    return [version](World &world, double, Tally &tally) {
        tally.cost += world.cost(version);
        return version;
    };
}

Way inTurn(const std::vector<VersionId> &versions)
{
    auto next = std::make_shared<std::size_t>(0);
    return [versions, next](World &world, double, Tally &tally) {
        const VersionId &version = versions[(*next)++ % versions.size()];
        tally.cost += world.cost(version);
        return version;
    };
}

Way cheapestThenStrongest(const VersionId &cheapest, const VersionId &strongest)
{
    return [=](World &world, double difficulty, Tally &tally) {
        tally.cost += world.cost(cheapest);
        if (world.rate(world.isGood(cheapest, difficulty))) {
            return cheapest;
        }
        tally.cost += world.cost(strongest);
        return strongest;
    };
}

/// Runs the planner of the daemon with its version statistics, sampled ratings and roll-out watch.
class Planned
{
public:
    explicit Planned(const std::shared_ptr<const Manifest> &manifest)
        : m_planner(m_stats, m_suspects)
        , m_watch(m_stats, m_suspects)
    {
        m_config.manifest = manifest;
        m_account.models = {manifest->models.begin()->first};
        for (const VersionSpec &version : manifest->models.begin()->second.versions) {
            m_usable.insert(version.id);
        }
    }

    VersionId choose(World &world, double difficulty, Tally &tally)
    {
        if (tally.requests % RequestsPerLook == 0) {
            for (const VersionStopDecision &stop : m_watch.look(m_config)) {
                m_config.stoppedVersions.emplace(stop.version, stop.reason);
            }
        }
        const auto plan = m_planner.plan({m_config, m_account, *m_account.models.begin(), Class,
                                          false, true, 30s, world.draw(), m_usable});
        const std::vector<VersionId> &versions = plan.value().versions;
        for (std::size_t step = 0; step < versions.size(); ++step) {
            const VersionId &version = versions[step];
            const bool good = world.isGood(version, difficulty);
            tally.cost += world.cost(version);
            m_stats.recordAnswer(Class, version, Tokens(TokensPerAnswer), 100ms);
            const bool last = step + 1 == versions.size();
            const bool sampled = world.draw() < SampledShare || m_suspects.contains(version);
            bool accepted = last;
            if (!last || sampled) {
                const bool rated = world.rate(good);
                m_stats.recordRating(Class, version, rated);
                accepted = last || rated;
            }
            if (accepted) {
                return version;
            }
        }
        return versions.back();
    }

private:
    VersionStats m_stats;
    SuspectVersions m_suspects;
    ConfigState m_config;
    AccountSpec m_account;
    std::set<VersionId> m_usable;
    Planner m_planner;
    RolloutWatch m_watch;
};

void printTally(const std::string &name, const Tally &tally, const Tally &reference,
                std::ostream &out)
{
    out << std::left << std::setw(26) << name << std::right << std::fixed << std::setprecision(0)
        << std::setw(14) << tally.cost / tally.requests << std::setprecision(2) << std::setw(10)
        << tally.costBefore / reference.costBefore << std::setw(10)
        << (tally.cost - tally.costBefore) / (reference.cost - reference.costBefore)
        << std::setprecision(4) << std::setw(10) << static_cast<double>(tally.good) / tally.requests
        << std::setw(10) << tally.exposed << "\n";
}

} // namespace

void compareDecisions(const std::string &deployment, std::uint64_t seed, int requests,
                      std::ostream &out)
{
    std::ifstream file(deployment + "/manifest.yaml");
    std::ostringstream text;
    text << file.rdbuf();
    Findings findings;
    const auto manifest =
        std::make_shared<const Manifest>(parseManifest(text.str(), "manifest.yaml", findings));
    if (!findings.empty()) {
        throw std::runtime_error(findings.text());
    }
    const FleetPlan plan = loadFleetPlan(deployment + "/fleet.yaml");
    std::vector<VersionId> versions;
    for (const VersionSpec &version : manifest->models.begin()->second.versions) {
        versions.push_back(version.id);
    }
    const VersionId &cheapest = versions.front();
    const VersionId &strongest = versions.back();
    Planned planned(manifest);
    const Way ours = [&](World &world, double difficulty, Tally &tally) {
        return planned.choose(world, difficulty, tally);
    };
    const World world(*manifest, plan, seed);
    const Tally reference = play(world, always(strongest), requests, cheapest);
    out << "quality target " << manifest->qualityTarget << ", seed " << seed << ", " << requests
        << " requests, " << cheapest.value()
        << " gives only bad answers in the second half; before and after: cost of the first and "
           "second "
           "half, relative to always the strongest\n"
        << std::left << std::setw(26) << "way" << std::right << std::setw(14) << "cost a request"
        << std::setw(10) << "before" << std::setw(10) << "after" << std::setw(10) << "quality"
        << std::setw(10) << "exposed"
        << "\n";
    printTally("always the strongest", reference, reference, out);
    printTally("always the cheapest", play(world, always(cheapest), requests, cheapest), reference,
               out);
    printTally("in turn", play(world, inTurn(versions), requests, cheapest), reference, out);
    printTally("cheapest, then strongest",
               play(world, cheapestThenStrongest(cheapest, strongest), requests, cheapest),
               reference, out);
    printTally("planner", play(world, ours, requests, cheapest), reference, out);
}

} // namespace lycheearch::trial
