#include "Base/Metrics.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace lycheearch {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(LogAxis()));

constexpr unsigned Buckets = 60;
constexpr double LowestSeconds = 0.0001;
constexpr double HighestSeconds = 100.0;

struct SeriesKey
{
    std::string name;
    std::string labels;
    auto operator<=>(const SeriesKey &) const = default;
};

struct Latency
{
    LatencyHistogram histogram =
        bh::make_histogram(LogAxis(Buckets, LowestSeconds, HighestSeconds));
    double sum = 0;
    double count = 0;
};

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void writeLatency(std::ostream &out, const SeriesKey &series, const Latency &latency)
{
    const std::string separator = series.labels.empty() ? "" : ",";
    double cumulativeCount = latency.histogram.at(-1);
    for (int i = 0; i < latency.histogram.axis().size(); ++i) {
        cumulativeCount += latency.histogram.at(i);
        out << series.name << "_bucket{" << series.labels << separator << "le=\""
            << latency.histogram.axis().bin(i).upper() << "\"} " << cumulativeCount << "\n";
    }
    out << series.name << "_bucket{" << series.labels << separator << "le=\"+Inf\"} "
        << latency.count << "\n";
    out << series.name << "_sum" << inBraces(series.labels) << " " << latency.sum << "\n";
    out << series.name << "_count" << inBraces(series.labels) << " " << latency.count << "\n";
}

} // namespace

/// The time series of all metrics. The mutex guards both maps.
class Metrics::Private
{
public:
    mutable std::mutex mutex;
    std::map<SeriesKey, double> counters;
    std::map<SeriesKey, Latency> latencies;
};

Metrics::Metrics()
    : m_private(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &labels, double amount)
{
    std::lock_guard lock(m_private->mutex);
    m_private->counters[{name, labels}] += amount;
}

void Metrics::observe(const std::string &name, const std::string &labels, Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    std::lock_guard lock(m_private->mutex);
    Latency &latency = m_private->latencies[{name, labels}];
    latency.histogram(seconds);
    latency.sum += seconds;
    latency.count += 1;
}

double Metrics::value(const std::string &name, const std::string &labels) const
{
    std::lock_guard lock(m_private->mutex);
    const auto found = m_private->counters.find({name, labels});
    return found == m_private->counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    std::lock_guard lock(m_private->mutex);
    for (const auto &[series, value] : m_private->counters) {
        out << series.name << inBraces(series.labels) << " " << value << "\n";
    }
    for (const auto &[series, latency] : m_private->latencies) {
        writeLatency(out, series, latency);
    }
    return out.str();
}

} // namespace lycheearch
