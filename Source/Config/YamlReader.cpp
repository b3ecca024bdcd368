#include "Config/YamlReader.h"

#include <algorithm>

namespace lycheearch {

namespace {

std::string describe(const YAML::Node &node)
{
    if (node.IsScalar()) {
        return "'" + node.Scalar() + "'";
    }
    if (node.IsSequence()) {
        return "a list";
    }
    return node.IsMap() ? "a map" : "nothing";
}

template <typename T>
std::string rangeText(const std::string &type, const Range<T> &range)
{
    return type + " from " + std::to_string(range.low) + " to " + std::to_string(range.high);
}

} // namespace

YamlReader::YamlReader(const YAML::Node &node, std::string file, std::string path,
                       Findings &findings, std::string *reference)
    : m_node(node)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_findings(findings)
    , m_reference(reference)
{
    if (!m_node.IsMap() && !m_node.IsNull()) {
        m_findings.add(location(m_node, ""), describe(m_node), "a map");
        m_node = YAML::Node();
    }
}

YAML::Node YamlReader::parse(const std::string &text, const std::string &file, Findings &findings)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &error) {
        const std::string where = error.mark.is_null() ? file
                                                       : file + ":"
                + std::to_string(error.mark.line + 1) + ":" + std::to_string(error.mark.column + 1);
        findings.add(where, error.msg, "a YAML document");
    }
    return {};
}

std::string YamlReader::location(const YAML::Node &node, const std::string &key) const
{
    std::string text = m_file;
    const YAML::Mark mark = node.Mark();
    if (!mark.is_null()) {
        text += ":" + std::to_string(mark.line + 1) + ":" + std::to_string(mark.column + 1);
    }
    const std::string path = m_path.empty() || key.empty() ? m_path + key : m_path + "." + key;
    return path.empty() ? text : text + " (" + path + ")";
}

void YamlReader::report(const char *key, const std::string &found, const std::string &expected)
{
    const YAML::Node node = m_node.IsMap() && m_node[key] ? m_node[key] : m_node;
    m_findings.add(location(node, key), found, expected);
}

YAML::Node YamlReader::find(const Option &option, const std::string &type,
                            const std::string &fallback)
{
    m_declaredKeys.emplace_back(option.key);
    if (m_reference != nullptr) {
        const std::string path = m_path.empty() ? option.key : m_path + "." + option.key;
        *m_reference +=
            "| `" + path + "` | " + type + " | " + fallback + " | " + option.help + " |\n";
    }
    const YAML::Node map = m_node;
    if (!map.IsMap()) {
        return {};
    }
    const YAML::Node found = map[option.key];
    return found.IsDefined() ? found : YAML::Node();
}

template <typename T>
T YamlReader::scalar(const Option &option, const std::string &type, T fallback,
                     const std::string &fallbackText)
{
    const YAML::Node node = find(option, type, fallbackText);
    if (node.IsNull()) {
        return fallback;
    }
    T value = fallback;
    if (!node.IsScalar() || !YAML::convert<T>::decode(node, value)) {
        report(option.key, describe(node), type);
        return fallback;
    }
    return value;
}

std::string YamlReader::requiredText(const Option &option)
{
    std::string value = scalar<std::string>(option, "text", "", "required");
    if (value.empty()) {
        report(option.key, "nothing", "text");
    }
    return value;
}

std::string YamlReader::text(const Option &option, const std::string &fallback)
{
    return scalar<std::string>(option, "text", fallback, fallback.empty() ? "empty" : fallback);
}

std::string YamlReader::choice(const Option &option, const std::vector<std::string> &choices,
                               const std::string &fallback)
{
    std::string type = "one of";
    for (const std::string &allowedValue : choices) {
        type += " " + allowedValue;
    }
    std::string value = scalar<std::string>(option, type, fallback, fallback);
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        report(option.key, "'" + value + "'", type);
        return fallback;
    }
    return value;
}

std::int64_t YamlReader::integer(const Option &option, Range<std::int64_t> range,
                                 std::int64_t fallback)
{
    const std::string type = rangeText("a whole number", range);
    const auto value = scalar<std::int64_t>(option, type, fallback, std::to_string(fallback));
    if (value < range.low || value > range.high) {
        report(option.key, std::to_string(value), type);
        return fallback;
    }
    return value;
}

double YamlReader::real(const Option &option, Range<double> range, double fallback)
{
    const std::string type = rangeText("a number", range);
    const auto value = scalar<double>(option, type, fallback, std::to_string(fallback));
    if (!(value >= range.low && value <= range.high)) {
        report(option.key, std::to_string(value), type);
        return fallback;
    }
    return value;
}

bool YamlReader::flag(const Option &option, bool fallback)
{
    return scalar<bool>(option, "true or false", fallback, fallback ? "true" : "false");
}

Duration YamlReader::milliseconds(const Option &option, Range<std::int64_t> range,
                                  std::int64_t fallback)
{
    return std::chrono::milliseconds(integer(option, range, fallback));
}

std::vector<std::string> YamlReader::texts(const Option &option)
{
    std::vector<std::string> values;
    const YAML::Node node = find(option, "a list of texts", "empty");
    if (node.IsNull()) {
        return values;
    }
    if (!node.IsSequence()) {
        report(option.key, describe(node), "a list of texts");
        return values;
    }
    for (const YAML::Node &item : node) {
        if (!item.IsScalar()) {
            m_findings.add(location(item, option.key), describe(item), "text");
            continue;
        }
        values.push_back(item.Scalar());
    }
    return values;
}

void YamlReader::readMap(const YAML::Node &node, const std::string &path,
                         const std::function<void(YamlReader &)> &read)
{
    YamlReader reader(node, m_file, path, m_findings, m_reference);
    read(reader);
    reader.reportUnknownKeys();
}

void YamlReader::each(const Option &option, const std::function<void(YamlReader &)> &read)
{
    const YAML::Node node = find(option, "a list of maps", "empty");
    const std::string path = m_path.empty() ? option.key : m_path + "." + option.key;
    if (m_reference != nullptr) {
        readMap(YAML::Node(), path + "[]", read);
        return;
    }
    if (node.IsNull()) {
        return;
    }
    if (!node.IsSequence()) {
        report(option.key, describe(node), "a list of maps");
        return;
    }
    std::size_t index = 0;
    for (const YAML::Node &item : node) {
        readMap(item, path + "[" + std::to_string(index++) + "]", read);
    }
}

void YamlReader::section(const Option &option, const std::function<void(YamlReader &)> &read)
{
    const YAML::Node node = find(option, "a map", "see below");
    readMap(node, m_path.empty() ? option.key : m_path + "." + option.key, read);
}

void YamlReader::reportUnknownKeys()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto &entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
        if (std::find(m_declaredKeys.begin(), m_declaredKeys.end(), key) == m_declaredKeys.end()) {
            m_findings.add(location(entry.first, key), "unknown key '" + key + "'",
                           "one of the documented keys");
        }
    }
}

} // namespace lycheearch
