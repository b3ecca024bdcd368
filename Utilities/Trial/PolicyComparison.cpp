#include "PolicyComparison.h"

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
#include "Routing/RegressionMonitor.h"

namespace lycheearch::trial {

namespace {

constexpr double SampledShare = 0.2;
constexpr double RatingErrorRate = 0.03; ///< Share of ratings that are inverted.
constexpr int RequestsPerRegressionCheck = 20; ///< Between two checks by the regression monitor.
constexpr std::int64_t TokensPerAnswer = 100;
const TaskClass AllTasks("all");

/// Total cost and answer quality of a policy.
struct PolicyResult
{
    double cost = 0;
    double firstHalfCost = 0; ///< Cost of the first half of the requests.
    int good = 0; ///< Good answers delivered.
    int exposed = 0; ///< Bad answers of the degraded version, delivered after it became bad.
    int requests = 0;
};

/// Simulates model versions and a rating service that makes errors. An answer of a version is good
/// if the difficulty of the request, 0 to 1, is below the quality of the version.
class Simulation
{
public:
    Simulation(const Manifest &manifest, const FleetPlan &plan, std::uint64_t seed)
        : m_manifest(manifest)
        , m_random(seed)
    {
        for (const VersionQuality &version : plan.versions) {
            m_quality[VersionId(version.id)] = version.quality;
        }
    }

    double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool isGood(const VersionId &version, double difficulty) const
    {
        return difficulty < m_quality.at(version);
    }
    bool rate(bool good) { return drawUniform() < RatingErrorRate ? !good : good; }
    void makeAnswersBad(const VersionId &version) { m_quality[version] = 0; }
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
using Policy = std::function<VersionId(Simulation &, double difficulty, PolicyResult &)>;

PolicyResult simulate(Simulation simulation, const Policy &policy, int requests,
                      const VersionId &badVersion)
{
    PolicyResult result;
    for (int i = 0; i < requests; ++i) {
        if (i == requests / 2) {
            result.firstHalfCost = result.cost;
            simulation.makeAnswersBad(badVersion);
        }
        const double difficulty = simulation.drawUniform();
        const VersionId delivered = policy(simulation, difficulty, result);
        const bool good = simulation.isGood(delivered, difficulty);
        result.good += good ? 1 : 0;
        result.exposed += !good && i >= requests / 2 && delivered == badVersion ? 1 : 0;
        ++result.requests;
    }
    return result;
}

Policy alwaysVersion(const VersionId &version)
{
    return [version](Simulation &simulation, double, PolicyResult &result) {
        result.cost += simulation.cost(version);
        return version;
    };
}

Policy roundRobin(const std::vector<VersionId> &versions)
{
    auto next = std::make_shared<std::size_t>(0);
    return [versions, next](Simulation &simulation, double, PolicyResult &result) {
        const VersionId &version = versions[(*next)++ % versions.size()];
        result.cost += simulation.cost(version);
        return version;
    };
}

Policy cheapestThenStrongest(const VersionId &cheapest, const VersionId &strongest)
{
    return [=](Simulation &simulation, double difficulty, PolicyResult &result) {
        result.cost += simulation.cost(cheapest);
        if (simulation.rate(simulation.isGood(cheapest, difficulty))) {
            return cheapest;
        }
        result.cost += simulation.cost(strongest);
        return strongest;
    };
}

/// Runs the planner of the daemon with its version statistics, sampled ratings and regression
/// monitor.
class PlannerPolicy
{
public:
    explicit PlannerPolicy(const std::shared_ptr<const Manifest> &manifest)
        : m_planner(m_stats, m_suspects)
        , m_regressionMonitor(m_stats, m_suspects)
    {
        m_config.manifest = manifest;
        m_account.models = {manifest->models.begin()->first};
        for (const VersionSpec &version : manifest->models.begin()->second.versions) {
            m_usable.insert(version.id);
        }
    }

    VersionId choose(Simulation &simulation, double difficulty, PolicyResult &result)
    {
        if (result.requests % RequestsPerRegressionCheck == 0) {
            for (const VersionStopDecision &stop : m_regressionMonitor.findRegressions(m_config)) {
                m_config.stoppedVersions.emplace(stop.version, stop.reason);
            }
        }
        const auto plan = m_planner.plan({m_config, m_account, *m_account.models.begin(), AllTasks,
                                          false, true, 30s, simulation.drawUniform(), m_usable});
        const std::vector<VersionId> &versions = plan.value().versions;
        for (std::size_t step = 0; step < versions.size(); ++step) {
            const VersionId &version = versions[step];
            const bool good = simulation.isGood(version, difficulty);
            result.cost += simulation.cost(version);
            m_stats.recordAnswer(AllTasks, version, Tokens(TokensPerAnswer), 100ms);
            const bool last = step + 1 == versions.size();
            const bool sampled =
                simulation.drawUniform() < SampledShare || m_suspects.contains(version);
            bool accepted = last;
            if (!last || sampled) {
                const bool rated = simulation.rate(good);
                m_stats.recordRating(AllTasks, version, rated);
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
    RegressionMonitor m_regressionMonitor;
};

void printResult(const std::string &name, const PolicyResult &result, const PolicyResult &reference,
                 std::ostream &out)
{
    out << std::left << std::setw(26) << name << std::right << std::fixed << std::setprecision(0)
        << std::setw(14) << result.cost / result.requests << std::setprecision(2) << std::setw(10)
        << result.firstHalfCost / reference.firstHalfCost << std::setw(10)
        << (result.cost - result.firstHalfCost) / (reference.cost - reference.firstHalfCost)
        << std::setprecision(4) << std::setw(10)
        << static_cast<double>(result.good) / result.requests << std::setw(10) << result.exposed
        << "\n";
}

} // namespace

void comparePolicies(const std::string &deployment, std::uint64_t seed, int requests,
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
    PlannerPolicy plannerPolicy(manifest);
    const Policy plannerChoice = [&](Simulation &simulation, double difficulty,
                                     PolicyResult &result) {
        return plannerPolicy.choose(simulation, difficulty, result);
    };
    const Simulation simulation(*manifest, plan, seed);
    const PolicyResult reference =
        simulate(simulation, alwaysVersion(strongest), requests, cheapest);
    out << "quality target " << manifest->qualityTarget << ", seed " << seed << ", " << requests
        << " requests, " << cheapest.value()
        << " gives only bad answers in the second half of the requests; before and after: cost of "
           "the first and the second half, relative to always the strongest\n"
        << std::left << std::setw(26) << "way" << std::right << std::setw(14) << "cost a request"
        << std::setw(10) << "before" << std::setw(10) << "after" << std::setw(10) << "quality"
        << std::setw(10) << "exposed"
        << "\n";
    printResult("always the strongest", reference, reference, out);
    printResult("always the cheapest",
                simulate(simulation, alwaysVersion(cheapest), requests, cheapest), reference, out);
    printResult("round robin", simulate(simulation, roundRobin(versions), requests, cheapest),
                reference, out);
    printResult(
        "cheapest, then strongest",
        simulate(simulation, cheapestThenStrongest(cheapest, strongest), requests, cheapest),
        reference, out);
    printResult("planner", simulate(simulation, plannerChoice, requests, cheapest), reference, out);
}

} // namespace lycheearch::trial
