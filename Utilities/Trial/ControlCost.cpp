#include "ControlCost.h"

#include <fstream>
#include <iomanip>
#include <sstream>

namespace lycheearch::trial {

namespace {

constexpr Duration SettleTime = 6s;
constexpr double BytesPerMegabyte = 1e6;
constexpr int FieldsBeforeSent = 8; ///< In a line of /proc/net/dev, after the interface name.

/// Bytes sent on the loopback interface since boot.
double loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line)) {
        const std::size_t name = line.find("lo:");
        if (name == std::string::npos) {
            continue;
        }
        std::istringstream fields(line.substr(name + 3));
        double value = 0;
        for (int i = 0; i <= FieldsBeforeSent; ++i) {
            fields >> value;
        }
        return value;
    }
    return 0;
}

/// Returns \p plan with the daemons of \p size spread over the data centres, and with all backend
/// groups scaled by the same factor to about the backend servers of \p size.
FleetPlan resizedPlan(FleetPlan plan, const FleetSize &size)
{
    const auto dataCentres = static_cast<int>(plan.dataCentres.size());
    for (int i = 0; i < dataCentres; ++i) {
        plan.dataCentres[static_cast<std::size_t>(i)].daemons =
            (size.daemons + dataCentres - 1 - i) / dataCentres;
    }
    int total = 0;
    for (const BackendGroup &group : plan.groups) {
        total += group.count;
    }
    for (BackendGroup &group : plan.groups) {
        group.count = std::max(1, group.count * size.backends / total);
    }
    return plan;
}

Duration processorTime(Trial &trial)
{
    Duration sum{};
    for (const FleetDaemon &daemon : trial.fleet().daemons()) {
        sum += daemon.process->processorTime();
    }
    return sum;
}

ControlCost measureFleet(const TrialPaths &paths, std::uint16_t firstPort, const FleetSize &size,
                         Duration length)
{
    FleetOptions options;
    options.firstPort = firstPort;
    options.proxied = false;
    const FleetPlan plan = resizedPlan(loadFleetPlan(paths.deployment + "/fleet.yaml"), size);
    Trial trial(paths, options, plan);
    trial.startUnmonitored();
    std::this_thread::sleep_for(SettleTime);
    ControlCost cost;
    cost.size = {static_cast<int>(trial.fleet().daemons().size()), 0};
    for (const BackendGroup &group : plan.groups) {
        cost.size.backends += group.count;
    }
    const Duration processorBefore = processorTime(trial);
    const double bytesBefore = loopbackBytes();
    std::this_thread::sleep_for(length);
    const double seconds = std::chrono::duration<double>(length).count();
    const double daemons = cost.size.daemons;
    cost.bytesPerSecond = (loopbackBytes() - bytesBefore) / seconds / daemons;
    cost.coreShare = std::chrono::duration<double>(processorTime(trial) - processorBefore).count()
        / seconds / daemons;
    for (const FleetDaemon &daemon : trial.fleet().daemons()) {
        cost.residentMegabytes +=
            static_cast<double>(daemon.process->residentBytes()) / BytesPerMegabyte / daemons;
    }
    cost.publishMilliseconds =
        static_cast<double>(toMilliseconds(trial.publish(trial.manifestText() + "# again\n")));
    return cost;
}

/// Least-squares fit of value = base + daemonSlope * daemons + backendSlope * backends.
struct LinearFit
{
    double base = 0;
    double daemonSlope = 0;
    double backendSlope = 0;
    double maxRelativeError = 0; ///< Largest relative error of a measured point.
};

LinearFit fitLeastSquares(const std::vector<ControlCost> &costs,
                          double (*value)(const ControlCost &))
{
    // The normal equations for three unknowns, solved by Gauss-Jordan elimination.
    double matrix[3][4] = {};
    for (const ControlCost &cost : costs) {
        const double row[3] = {1.0, static_cast<double>(cost.size.daemons),
                               static_cast<double>(cost.size.backends)};
        for (int i = 0; i < 3; ++i) {
            for (int j = 0; j < 3; ++j) {
                matrix[i][j] += row[i] * row[j];
            }
            matrix[i][3] += row[i] * value(cost);
        }
    }
    for (int pivot = 0; pivot < 3; ++pivot) {
        for (int i = 0; i < 3; ++i) {
            if (i == pivot || matrix[pivot][pivot] == 0) {
                continue;
            }
            const double factor = matrix[i][pivot] / matrix[pivot][pivot];
            for (int j = 0; j < 4; ++j) {
                matrix[i][j] -= factor * matrix[pivot][j];
            }
        }
    }
    LinearFit linearFit{matrix[0][3] / matrix[0][0], matrix[1][3] / matrix[1][1],
                        matrix[2][3] / matrix[2][2], 0};
    for (const ControlCost &cost : costs) {
        const double fitted = linearFit.base + linearFit.daemonSlope * cost.size.daemons
            + linearFit.backendSlope * cost.size.backends;
        linearFit.maxRelativeError =
            std::max(linearFit.maxRelativeError, std::abs(fitted - value(cost)) / value(cost));
    }
    return linearFit;
}

void printFit(const std::string &name, const LinearFit &linearFit, std::ostream &out)
{
    out << name << " = " << std::setprecision(4) << linearFit.base << " + " << linearFit.daemonSlope
        << " * daemons + " << linearFit.backendSlope
        << " * backend servers (largest relative error " << std::setprecision(0)
        << linearFit.maxRelativeError * 100 << " %)\n";
}

} // namespace

void measureControlCost(const TrialPaths &paths, std::uint16_t firstPort,
                        const std::vector<FleetSize> &sizes, Duration length, std::ostream &out)
{
    out << "daemons  backends  core %  bytes/s  resident MB  publish ms\n" << std::fixed;
    std::vector<ControlCost> costs;
    for (const FleetSize &size : sizes) {
        const ControlCost cost = measureFleet(paths, firstPort, size, length);
        costs.push_back(cost);
        out << std::setw(7) << cost.size.daemons << std::setw(10) << cost.size.backends
            << std::setprecision(2) << std::setw(8) << cost.coreShare * 100 << std::setprecision(0)
            << std::setw(9) << cost.bytesPerSecond << std::setprecision(1) << std::setw(13)
            << cost.residentMegabytes << std::setprecision(0) << std::setw(12)
            << cost.publishMilliseconds << "\n"
            << std::flush;
    }
    printFit("core %",
             fitLeastSquares(costs, [](const ControlCost &c) { return c.coreShare * 100; }), out);
    printFit("bytes/s",
             fitLeastSquares(costs, [](const ControlCost &c) { return c.bytesPerSecond; }), out);
    printFit("resident MB",
             fitLeastSquares(costs, [](const ControlCost &c) { return c.residentMegabytes; }), out);
}

} // namespace lycheearch::trial
