#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "Base/Findings.h"
#include "Base/Time.h"

namespace lycheearch {

/// One key of a document: its name and its description on the reference page.
struct Option
{
    const char *key;
    const char *help;
};

/// The lowest and the highest accepted value, inclusive.
template <typename T>
struct Range
{
    T low;
    T high;
};

/// Reads one map of a YAML document. Every read declares its key, so that the same calls validate a
/// document, detect unknown keys, and generate the reference page. A value that is missing or
/// invalid is replaced by the fallback; an invalid one adds a finding.
class YamlReader
{
public:
    /// \p file is the name of the document in findings, \p path the location of this map in it.
    /// With \p reference, each read appends a row of the reference page to it.
    YamlReader(const YAML::Node &node, std::string file, std::string path, Findings &findings,
               std::string *reference = nullptr);

    /// Parses \p text. On a syntax error, adds a finding and returns an empty document.
    static YAML::Node parse(const std::string &text, const std::string &file, Findings &findings);

    /// A missing or empty value adds a finding.
    std::string requiredText(const Option &option);
    std::string text(const Option &option, const std::string &fallback);
    std::string choice(const Option &option, const std::vector<std::string> &choices,
                       const std::string &fallback);
    std::int64_t integer(const Option &option, Range<std::int64_t> range, std::int64_t fallback);
    double real(const Option &option, Range<double> range, double fallback);
    bool flag(const Option &option, bool fallback);
    Duration milliseconds(const Option &option, Range<std::int64_t> range, std::int64_t fallback);
    std::vector<std::string> texts(const Option &option);
    /// Calls \p read for each map in a list.
    void each(const Option &option, const std::function<void(YamlReader &)> &read);
    /// Calls \p read for the map under a key, or for an empty map if the key is missing.
    void section(const Option &option, const std::function<void(YamlReader &)> &read);
    /// Adds a finding for each key that no read declared. Must be called after all reads.
    void reportUnknownKeys();

    /// Adds a finding for the value of \p key.
    void report(const char *key, const std::string &found, const std::string &expected);

private:
    YAML::Node find(const Option &option, const std::string &type, const std::string &fallback);
    std::string location(const YAML::Node &node, const std::string &key) const;
    void readMap(const YAML::Node &node, const std::string &path,
                 const std::function<void(YamlReader &)> &read);
    template <typename T>
    T scalar(const Option &option, const std::string &type, T fallback,
             const std::string &fallbackText);

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    Findings &m_findings;
    std::string *m_reference;
    std::vector<std::string> m_declaredKeys;
};

} // namespace lycheearch
