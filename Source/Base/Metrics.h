#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Base/Time.h"

namespace lycheearch {

/// Counters and latency histograms of this process. Safe for use by many threads.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. \p labels is empty or has the form key="value",key="value".
    void count(const std::string &name, const std::string &labels = "", double amount = 1);
    /// Adds a duration to a histogram.
    void observe(const std::string &name, const std::string &labels, Duration duration);
    double value(const std::string &name, const std::string &labels = "") const;
    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
