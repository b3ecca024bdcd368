#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "Base/Time.h"

namespace lycheearch {

/// Counters and latency histograms of this process. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. \p labels is empty or has the form key="value",key="value".
    void count(const std::string &name, const std::string &labels = "", double amount = 1);
    /// Adds a duration, exported in seconds, to a histogram.
    void observe(const std::string &name, const std::string &labels, Duration duration);
    /// Value of a counter; 0 if it was never incremented.
    double value(const std::string &name, const std::string &labels = "") const;
    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheearch
